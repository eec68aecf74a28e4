package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.lockdale.coordination.time.Time;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.RateRecord;
import org.lockdale.protocol.generated.RateReport;

/** Sends observed rates to other nodes, in as many messages as they need. */
final class RateReportSender {

  /** Maximum number of records in one message, so that it fits into a datagram. */
  private static final int MAX_RECORDS_IN_MESSAGE = 16;

  private final BiConsumer<List<InetSocketAddress>, Message> sender;
  private final Time time;

  /**
   * Creates a sender.
   *
   * @param sender sends a message to several nodes
   * @param time clock
   */
  RateReportSender(BiConsumer<List<InetSocketAddress>, Message> sender, Time time) {
    this.sender = sender;
    this.time = time;
  }

  void send(List<InetSocketAddress> receivers, List<RateObservation> observations) {
    long now = time.monotonicMillis();
    for (int from = 0; from < observations.size(); from += MAX_RECORDS_IN_MESSAGE) {
      int until = Math.min(observations.size(), from + MAX_RECORDS_IN_MESSAGE);
      List<RateRecord> records = new ArrayList<>();
      observations
          .subList(from, until)
          .forEach(observation -> records.add(observation.toRecord(now)));
      sender.accept(receivers, new RateReport(records));
    }
  }
}
