package org.lockdale.gateway.command;

import java.net.InetSocketAddress;
import java.util.List;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpRequestMessage;

/**
 * Simulates the rest of a deployment for a training run: its store and backends, by one stand-in
 * server, and its callers, by requests of each kind.
 */
public interface TrainingEnvironment {

  /**
   * Returns a handler that responds as the store and as all backends.
   *
   * @param address address at which the handler will be reachable
   */
  HttpHandler standIn(InetSocketAddress address);

  /** Returns one request of each kind that callers send; each must get a successful response. */
  List<HttpRequestMessage> requests();
}
