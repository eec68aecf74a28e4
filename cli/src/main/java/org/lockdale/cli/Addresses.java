package org.lockdale.cli;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Parses and formats addresses of the form {@code IP:port} in arguments and output. */
final class Addresses {

  private Addresses() {}

  static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Converts an argument of the form {@code IP:port}; host names are rejected. */
  static final class Converter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
      int colon = text.lastIndexOf(':');
      if (colon < 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:]+]")) {
        throw new TypeConversionException("write IP:port, such as 127.0.0.1:9080");
      }
      try {
        InetAddress address = InetAddress.getByName(text.substring(0, colon));
        return new InetSocketAddress(address, Integer.parseInt(text.substring(colon + 1)));
      } catch (UnknownHostException | IllegalArgumentException malformed) {
        throw new TypeConversionException("write IP:port, such as 127.0.0.1:9080");
      }
    }
  }
}
