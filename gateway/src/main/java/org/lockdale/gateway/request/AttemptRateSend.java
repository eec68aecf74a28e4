package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.rate.RateSend;
import org.lockdale.http.HttpCall;

/**
 * Records the send of an attempt if its backend advertises a rate, and once how the wait for its
 * response ended. Confined to the event loop of the caller's connection.
 */
final class AttemptRateSend {

  private final BackendRates rates;
  private final String placedBy;
  private @Nullable RateSend send;

  /**
   * Creates the record of an attempt that was not sent yet.
   *
   * @param rates rates of the backends
   * @param placedBy id of the relay that placed the request, or an empty text for this node
   */
  AttemptRateSend(BackendRates rates, String placedBy) {
    this.rates = rates;
    this.placedBy = placedBy;
  }

  /** Records that the request is sent now. */
  void start(String backend, String request) {
    send = rates.recordSend(backend, request, placedBy);
  }

  /** Records that the response begins. */
  void answered() {
    end(RateSend.End.ANSWERED);
  }

  /**
   * Records that the attempt has ended; ignored if its response had begun.
   *
   * @param call its call, or null if there was none
   * @param loss how its response was lost, or null if it was not
   */
  void ended(@Nullable HttpCall call, LostAttempt.@Nullable Loss loss) {
    if (call == null || !call.wasSent()) {
      end(RateSend.End.NOT_SENT);
    } else if (loss == LostAttempt.Loss.CLOSED) {
      end(RateSend.End.CLOSED);
    } else {
      end(RateSend.End.GIVEN_UP);
    }
  }

  private void end(RateSend.End end) {
    RateSend ended = send;
    if (ended != null) {
      send = null;
      rates.recordEnd(ended, end);
    }
  }
}
