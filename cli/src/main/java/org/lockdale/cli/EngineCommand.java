package org.lockdale.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.emulator.engine.BlockHolderCounts;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.engine.EngineSettings;
import org.lockdale.emulator.engine.RunRecord;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.platform.MachineEntry;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in engine and registers it with the stand-in platform. */
@Command(
    name = "engine",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in engine and adds it to the stand-in platform's machine list.")
final class EngineCommand implements Callable<Integer> {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @Option(names = "--id", required = true, description = "Engine id.")
  private String id;

  @Option(names = "--zone", required = true, description = "Zone.")
  private String zone;

  @Option(names = "--label", paramLabel = "KEY=VALUE", description = "Label of the engine.")
  private Map<String, String> labels = new LinkedHashMap<>();

  @Option(
      names = "--model",
      paramLabel = "NAME=VERSION",
      required = true,
      description = "Model with its weights version.")
  private Map<String, String> models = new LinkedHashMap<>();

  @Option(
      names = "--listen",
      defaultValue = "127.0.0.1:0",
      converter = Addresses.Converter.class,
      description = "Address (default: a free port).")
  private InetSocketAddress listen;

  @Option(
      names = "--platform",
      defaultValue = "127.0.0.1:6080",
      converter = Addresses.Converter.class,
      description = "Stand-in platform (default: ${DEFAULT-VALUE}).")
  private InetSocketAddress platform;

  @Option(names = "--cache-blocks", defaultValue = "4096", description = "Size of the cache.")
  private int cacheBlocks;

  @Option(
      names = "--ledger",
      paramLabel = "FILE",
      description = "Appends a history event for every attempt before it runs.")
  private @Nullable Path ledgerFile;

  @Override
  public Integer call() throws IOException, InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    EngineSettings settings =
        EngineSettings.standard(id, zone, labels, models).withCacheBlocks(cacheBlocks);
    EngineServer engine =
        EngineServer.start(settings, listen, group, ledger(), new BlockHolderCounts());
    register(new HttpClient(group), engine.address());
    System.out.println("ready engine=" + Addresses.format(engine.address()));
    new CountDownLatch(1).await();
    return ExitStatus.OK;
  }

  private Consumer<RunRecord> ledger() throws IOException {
    if (ledgerFile == null) {
      return run -> {};
    }
    PrintStream out =
        new PrintStream(
            Files.newOutputStream(ledgerFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND),
            true);
    return run -> {
      try {
        out.println(
            MAPPER
                .writerFor(HistoryEvent.class)
                .writeValueAsString(
                    HistoryEvent.Run.of(
                        run, TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()))));
      } catch (IOException impossible) {
        throw new UncheckedIOException(impossible);
      }
    };
  }

  private void register(HttpClient client, InetSocketAddress address) throws IOException {
    MachineEntry entry =
        new MachineEntry(
            id,
            "engine",
            zone,
            address.getAddress().getHostAddress(),
            address.getPort(),
            "live",
            labels);
    HttpReply reply =
        client
            .exchange(
                platform,
                HttpRequestMessage.json(
                    HttpMethod.PUT, "/machines/" + id, MAPPER.writeValueAsBytes(entry)),
                TIMEOUT)
            .join();
    if (reply.status() != 204) {
      throw new OperatorException("The platform rejected the engine: " + reply.bodyText());
    }
  }
}
