package org.lockdale.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.lockdale.router.node.RouterNode;
import org.lockdale.router.settings.NodeSettings;
import org.lockdale.settings.Setting;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a node; SIGTERM triggers a planned stop, which finishes open requests before the exit. */
@Command(
    name = "node",
    mixinStandardHelpOptions = true,
    description = "Runs a node. SIGTERM finishes open requests before it exits.")
final class NodeCommand implements Callable<Integer> {

  @Option(names = "--settings", paramLabel = "FILE", description = "Settings file (YAML).")
  private @Nullable Path file;

  @Option(names = "--set", paramLabel = "KEY=VALUE", description = "A setting; wins over the file.")
  private Map<String, String> flags = new LinkedHashMap<>();

  @Option(names = "--check-settings", description = "Checks the settings and starts nothing.")
  private boolean checkOnly;

  @Option(names = "--print-settings", description = "Prints the settings in force and exits.")
  private boolean printOnly;

  @Option(names = "--settings-reference", description = "Prints the page of all settings.")
  private boolean reference;

  @Override
  public Integer call() throws InterruptedException {
    if (reference) {
      System.out.print(NodeSettings.referencePage());
      return ExitStatus.OK;
    }
    NodeSettings settings = NodeSettings.load(file, flags);
    if (printOnly) {
      print(settings);
      return ExitStatus.OK;
    }
    if (checkOnly) {
      System.out.println("settings are valid");
      return ExitStatus.OK;
    }
    run(settings);
    return ExitStatus.OK;
  }

  private static void print(NodeSettings settings) {
    for (Setting<?> setting : NodeSettings.declarations()) {
      String value = setting.secret() ? "(secret)" : String.valueOf(settings.get(setting));
      System.out.println(setting.key() + ": " + value);
    }
  }

  private static void run(NodeSettings settings) throws InterruptedException {
    RouterNode node = RouterNode.start(settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.stop().join();
                  stopped.countDown();
                },
                "planned-stop"));
    System.out.println(
        "ready callers="
            + Addresses.format(node.callerAddress())
            + " operators="
            + Addresses.format(node.operatorAddress())
            + " peers="
            + Addresses.format(node.peerAddress()));
    stopped.await();
  }
}
