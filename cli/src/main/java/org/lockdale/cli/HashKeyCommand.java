package org.lockdale.cli;

import java.util.concurrent.Callable;
import org.lockdale.router.policy.PolicySet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Hashes an API key for a tenant's configuration. */
@Command(
    name = "hash-key",
    mixinStandardHelpOptions = true,
    description = "Prints the hash of an API key in the form of a tenant's apiKeySha256.")
final class HashKeyCommand implements Callable<Integer> {

  @Parameters(paramLabel = "KEY", description = "API key.", interactive = true, arity = "0..1")
  private char[] key = new char[0];

  @Override
  public Integer call() {
    if (key.length == 0) {
      throw new OperatorException("The API key is missing; give it as an argument.");
    }
    System.out.println(PolicySet.hashOfKey(new String(key)));
    return ExitStatus.OK;
  }
}
