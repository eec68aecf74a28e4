package org.lockdale.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.Option;

/** Options of operators' commands for reaching and authenticating to a node. */
final class OperatorOptions {

  @Option(
      names = "--node",
      paramLabel = "IP:PORT",
      defaultValue = "127.0.0.1:9080",
      converter = Addresses.Converter.class,
      description = "Operators' address of any node (default: ${DEFAULT-VALUE}).")
  InetSocketAddress node;

  @Option(
      names = "--token",
      defaultValue = "${env:LOCKDALE_TOKEN:-none}",
      description = "Operators' token; also taken from LOCKDALE_TOKEN.")
  String token;

  @Option(
      names = "--author",
      defaultValue = "${sys:user.name}",
      description = "Name recorded with edits (default: the user's).")
  String author;
}
