package org.lockdale.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.lockdale.emulator.platform.PlatformServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in platform, which keeps tables and the machine list in memory. */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in for the platform: tables and machine list, in memory.")
final class PlatformCommand implements Callable<Integer> {

  @Option(
      names = "--listen",
      defaultValue = "127.0.0.1:6080",
      converter = Addresses.Converter.class,
      description = "Address (default: ${DEFAULT-VALUE}).")
  private InetSocketAddress listen;

  @Option(names = "--seed", defaultValue = "1", description = "Decides which replies are lost.")
  private long seed;

  @Override
  public Integer call() throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    PlatformServer platform = PlatformServer.start(listen, group, seed);
    System.out.println("ready platform=" + Addresses.format(platform.address()));
    new CountDownLatch(1).await();
    return ExitStatus.OK;
  }
}
