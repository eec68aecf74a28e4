package org.lockdale.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.emulator.history.HistoryFile;
import org.lockdale.emulator.history.HistoryRecorder;
import org.lockdale.emulator.load.LoadGenerator;
import org.lockdale.emulator.load.LoadReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Sends a workload to running nodes and prints the outcomes that callers observed. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Sends a workload to nodes and prints what callers saw.")
final class LoadCommand implements Callable<Integer> {

  @Mixin private WorkloadOptions options = new WorkloadOptions();

  @Option(
      names = "--nodes",
      paramLabel = "IP:PORT",
      split = ",",
      required = true,
      converter = Addresses.Converter.class,
      description = "Callers' addresses of nodes, taken in turn.")
  private List<InetSocketAddress> nodes;

  @Option(names = "--history", paramLabel = "FILE", description = "Writes the calls to a file.")
  private @Nullable Path historyFile;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Deployment deployment = Deployment.find(options.workload);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    HistoryRecorder history = new HistoryRecorder();
    double requestsPerSecond = options.rateOf(deployment);
    new LoadGenerator(group, history)
        .run(deployment.workload(), nodes, requestsPerSecond, options.seconds, options.seed);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    if (historyFile != null) {
      HistoryFile.write(historyFile, history.events());
    }
    ReportPrinter.print(LoadReport.of(history.events(), deployment::priorityOf), false);
    return ExitStatus.OK;
  }
}
