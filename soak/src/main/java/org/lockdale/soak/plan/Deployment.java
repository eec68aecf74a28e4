package org.lockdale.soak.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The processes of a run.
 *
 * @param nodes number of gateway nodes
 * @param engines number of model servers
 * @param plains number of servers without a model, of each of two services
 */
public record Deployment(int nodes, int engines, int plains) {

  /** Stands for all processes that listen, as the destination of a link fault. */
  public static final String ANY = "*";

  /** Name of the store. */
  public static final String STORE = "store";

  /** Name of the store of cached prompts. */
  public static final String CACHE_STORE = "cache-store";

  /** Name of the callers' end of a link. */
  public static final String CALLERS = "callers";

  /**
   * Creates a deployment.
   *
   * @throws IllegalArgumentException if a number is less than 1
   */
  public Deployment {
    if (nodes < 1 || engines < 1 || plains < 1) {
      throw new IllegalArgumentException("a deployment needs at least one process of each kind");
    }
  }

  /**
   * Returns ten processes: three nodes, three engines, a server of each plain service, the stores.
   */
  public static Deployment small() {
    return new Deployment(3, 3, 1);
  }

  /** Returns the names of the gateway nodes. */
  public List<String> nodeNames() {
    return names("node-", nodes);
  }

  /** Returns the names of the model servers. */
  public List<String> engineNames() {
    return names("engine-", engines);
  }

  /** Returns the names of the servers of the two plain services. */
  public List<String> plainNames() {
    List<String> names = new ArrayList<>(names("plain-", plains));
    names.addAll(names("spare-", plains));
    return List.copyOf(names);
  }

  /** Returns the names of all servers that may be replaced. */
  public List<String> serverNames() {
    List<String> names = new ArrayList<>(engineNames());
    names.addAll(plainNames());
    return List.copyOf(names);
  }

  private static List<String> names(String prefix, int count) {
    return IntStream.rangeClosed(1, count).mapToObj(number -> prefix + number).toList();
  }
}
