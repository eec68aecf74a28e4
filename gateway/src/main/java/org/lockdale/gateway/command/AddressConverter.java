package org.lockdale.gateway.command;

import java.net.InetSocketAddress;
import java.util.List;
import org.lockdale.settings.SettingsException;
import org.lockdale.settings.ValueParsers;
import picocli.CommandLine.ITypeConverter;

/** Converts a command-line argument {@code IP:PORT} to an address. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {

  @Override
  public InetSocketAddress convert(String text) {
    try {
      return ValueParsers.address(text);
    } catch (IllegalArgumentException noAddress) {
      throw new SettingsException(List.of("'" + text + "' " + noAddress.getMessage()));
    }
  }
}
