package org.lockdale.gateway.command;

import java.net.InetSocketAddress;
import java.util.List;
import org.lockdale.http.HttpHandler;
import org.lockdale.http.HttpRequestMessage;

/**
 * What a training run needs of a deployment: a stand-in of its store and back ends in one server,
 * and requests of each kind.
 */
public interface TrainingEnvironment {

  /**
   * Returns a handler that answers as the store and as all back ends.
   *
   * @param address address at which it will be reached
   */
  HttpHandler standIn(InetSocketAddress address);

  /** Returns one request of each kind that callers send; each is answered with success. */
  List<HttpRequestMessage> requests();
}
