package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lockdale.protocol.generated.SendCountRecord;
import org.lockdale.protocol.generated.SendCountReport;

/**
 * Reports to the relays how many requests of this node may be arriving at each backend that
 * advertises a rate: soon after a request is sent, and repeatedly, as messages may be lost. Runs on
 * the executor of its {@link RateExchange}; requests may be sent on any thread.
 */
final class SendCountReporter {

  /** Requests sent within this time go into one report. */
  private static final long BATCH_MILLIS = 20;

  /** Maximum number of records in one message, so that it fits into a datagram. */
  private static final int MAX_RECORDS_IN_MESSAGE = 16;

  private final RateExchange.Context context;
  private final AtomicBoolean scheduled = new AtomicBoolean();

  /** Backends with a positive count in the last report, for which a count of 0 is news. */
  private Set<String> lastReported = Set.of();

  SendCountReporter(RateExchange.Context context) {
    this.context = context;
    context.rates().setSendListener(this::onSend);
  }

  private void onSend() {
    if (scheduled.compareAndSet(false, true)) {
      context.executor().schedule(this::reportSends, BATCH_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void reportSends() {
    scheduled.set(false);
    report();
  }

  /** Reports all counts, those that have become 0 once. */
  void report() {
    Map<String, Integer> counts = new TreeMap<>(context.rates().sentCounts());
    Set<String> positive = new HashSet<>(counts.keySet());
    lastReported.forEach(backend -> counts.putIfAbsent(backend, 0));
    lastReported = positive;
    List<SendCountRecord> records = new ArrayList<>();
    counts.forEach((backend, count) -> records.add(new SendCountRecord(backend, count)));
    List<InetSocketAddress> relays =
        context.relays().get().stream().map(RelayElection.Relay::address).toList();
    for (int from = 0; from < records.size(); from += MAX_RECORDS_IN_MESSAGE) {
      int until = Math.min(records.size(), from + MAX_RECORDS_IN_MESSAGE);
      SendCountReport report =
          new SendCountReport(context.incarnation(), records.subList(from, until));
      context.sender().accept(relays, report);
    }
  }
}
