package org.lockdale.gateway.command;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.node.GatewayNode;
import org.lockdale.gateway.node.GatewayProtocols;
import org.lockdale.gateway.node.GatewaySettings;
import org.lockdale.http.EarlyListener;
import org.lockdale.http.HttpClient;
import org.lockdale.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a gateway node until the process receives a stop signal; SIGTERM starts a planned stop. */
@Command(
    name = "lockdale-gateway",
    mixinStandardHelpOptions = true,
    version = "lockdale-gateway 0.1.0",
    description = "Runs a gateway node. SIGTERM finishes open requests before it exits.",
    footer = {
      "",
      "Example: lockdale-gateway --settings gateway.yaml --set node.threads=2",
      "",
      "Exit status: 0 stopped as planned, 1 the node failed, 2 settings or options are wrong."
    })
public final class GatewayCommand implements Callable<Integer> {

  private static final String NETTY_MACHINE_ID_PROPERTY = "io.netty.machineId";
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_WRONG_SETTINGS = 2;
  private static final String SETTINGS_OPTION = "--settings";
  private static final String LISTEN_OPTION = "--listen";
  private static final int SETTINGS_ONLY_ARGUMENTS = 2;
  private static final int SETTINGS_AND_LISTEN_ARGUMENTS = 4;

  private final Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>>
      adapters;
  private final TrainingEnvironment training;
  private final AtomicReference<Runnable> reload = new AtomicReference<>(() -> {});

  @Option(names = SETTINGS_OPTION, paramLabel = "FILE", description = "Settings file (YAML).")
  private @Nullable Path file;

  @Option(
      names = LISTEN_OPTION,
      paramLabel = "IP:PORT",
      converter = AddressConverter.class,
      description =
          "Listens for callers here before anything else, so that none is refused while the node"
              + " starts; must be callers.address.")
  private @Nullable InetSocketAddress listenAddress;

  @Option(names = "--set", paramLabel = "KEY=VALUE", description = "A setting; wins over the file.")
  private Map<String, String> flags = new LinkedHashMap<>();

  @Option(names = "--check-settings", description = "Checks the settings and starts nothing.")
  private boolean checkOnly;

  @Option(names = "--settings-reference", description = "Prints the page of all settings.")
  private boolean reference;

  @Option(
      names = "--training-run",
      description =
          "Serves a few requests on loopback and stops, so that a class data archive can be written"
              + " (java -XX:ArchiveClassesAtExit=FILE).")
  private boolean trainingRun;

  /**
   * Monotonic time that serves as the start of the process: that of creating the command, which is
   * done first.
   */
  private final long startedAtMillis = SystemTime.instance().monotonicMillis();

  private GatewayCommand(
      Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>> adapters,
      TrainingEnvironment training) {
    this.adapters = adapters;
    this.training = training;
  }

  /**
   * Runs the command line.
   *
   * @param adapters creates the adapters of the deployment from the settings
   * @param training simulates the rest of the deployment for training runs
   * @param arguments command-line arguments
   * @return the exit status
   */
  public static int run(
      Function<GatewaySettings, BiFunction<EventLoopGroup, HttpClient, GatewayProtocols>> adapters,
      TrainingEnvironment training,
      String... arguments) {
    setNettyMachineId();
    if (canBypassParser(arguments)) {
      return runWithoutParser(new GatewayCommand(adapters, training), arguments);
    }
    return new CommandLine(new GatewayCommand(adapters, training))
        .setExecutionExceptionHandler(
            (failure, command, parsed) -> {
              command.getErr().println(failure.getMessage());
              return statusOf(failure);
            })
        .execute(arguments);
  }

  /**
   * Sets Netty's machine id, which is part of the ids of its connections. Without it, Netty
   * searches all network interfaces for a hardware address, and logs a warning if there is none.
   * Connection ids are not logged here.
   */
  private static void setNettyMachineId() {
    if (System.getProperty(NETTY_MACHINE_ID_PROPERTY) == null) {
      System.setProperty(NETTY_MACHINE_ID_PROPERTY, "02:00:00:00:00:01");
    }
  }

  /**
   * Returns whether the arguments are only a settings file and optionally a listen address, as in
   * an installation. Such a start bypasses the command-line parser: it is part of every recovery,
   * and building the parser would take half of the start time.
   */
  private static boolean canBypassParser(String... arguments) {
    boolean settings =
        arguments.length >= SETTINGS_ONLY_ARGUMENTS
            && arguments[0].equals(SETTINGS_OPTION)
            && !arguments[1].startsWith("-");
    boolean listen =
        arguments.length == SETTINGS_AND_LISTEN_ARGUMENTS
            && arguments[SETTINGS_ONLY_ARGUMENTS].equals(LISTEN_OPTION);
    return settings && (arguments.length == SETTINGS_ONLY_ARGUMENTS || listen);
  }

  private static int runWithoutParser(GatewayCommand command, String... arguments) {
    command.file = Path.of(arguments[1]);
    try {
      if (arguments.length == SETTINGS_AND_LISTEN_ARGUMENTS) {
        command.listenAddress =
            new AddressConverter().convert(arguments[SETTINGS_ONLY_ARGUMENTS + 1]);
      }
      return command.call();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    } catch (RuntimeException failure) {
      System.err.println(failure.getMessage());
      return statusOf(failure);
    }
  }

  private static int statusOf(Exception failure) {
    return failure instanceof SettingsException ? EXIT_WRONG_SETTINGS : EXIT_FAILED;
  }

  @Override
  public Integer call() throws InterruptedException {
    if (reference) {
      System.out.print(GatewaySettings.referencePage());
      return EXIT_OK;
    }
    if (trainingRun) {
      TrainingRun.run(adapters, training);
      return EXIT_OK;
    }
    if (checkOnly) {
      loadSettings();
      System.out.println("settings are valid");
      return EXIT_OK;
    }
    // SIGHUP ends a process without a handler, so install the handler before callers can connect.
    HangupSignal.onSignal(() -> reload.get().run());
    EarlyListener listener = listenAddress == null ? null : EarlyListener.open(listenAddress);
    try {
      serve(loadSettings(), listener);
    } finally {
      if (listener != null) {
        listener.close();
      }
    }
    return EXIT_OK;
  }

  private GatewaySettings loadSettings() {
    GatewaySettings settings = GatewaySettings.load(file, flags);
    boolean listensElsewhere =
        listenAddress != null
            && !settings.get(GatewaySettings.CALLERS_ADDRESS).equals(listenAddress);
    if (listensElsewhere) {
      throw new SettingsException(
          List.of(
              LISTEN_OPTION + ": is not callers.address; give the same address or leave it out."));
    }
    return settings;
  }

  private void serve(GatewaySettings settings, @Nullable EarlyListener listener)
      throws InterruptedException {
    GatewayNode node =
        GatewayNode.start(settings, adapters.apply(settings), listener, startedAtMillis);
    reload.set(node::reload);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.stop().join();
                  stopped.countDown();
                },
                "planned-stop"));
    stopped.await();
  }
}
