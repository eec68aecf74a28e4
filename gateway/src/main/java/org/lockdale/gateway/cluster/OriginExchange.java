package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.resume.OriginPeers;
import org.lockdale.gateway.resume.OriginReply;
import org.lockdale.gateway.resume.OriginTable;
import org.lockdale.gateway.resume.StreamId;
import org.lockdale.gateway.resume.StreamOrigin;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.StreamOriginAnswer;
import org.lockdale.protocol.generated.StreamOriginQuestion;
import org.lockdale.protocol.generated.StreamOriginRecord;
import org.lockdale.protocol.generated.StreamOriginReport;

/**
 * Keeps the origins of streams at several nodes. The keepers of an origin are chosen by rendezvous
 * hashing of the stream's id, so that every node knows whom to ask. Thread-safe.
 */
public final class OriginExchange implements OriginPeers {

  /** Number of nodes that keep an origin, some of which may be lost with the node it came from. */
  public static final int KEEPERS = 5;

  /** How long to wait for answers. A node in another zone answers within a few milliseconds. */
  private static final long ANSWER_TIMEOUT_MILLIS = 60;

  /**
   * Interval of attempts to replicate origins while this node does not know the other nodes yet.
   */
  private static final long RETRY_MILLIS = 200;

  /** Maximum number of records in one message, so that it fits into a datagram. */
  private static final int MAX_RECORDS_IN_MESSAGE = 16;

  /**
   * Dependencies of an exchange.
   *
   * @param self this node
   * @param peers supplies the other nodes
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param executor runs timeouts
   * @param sender sends a message to several nodes
   * @param table origins that this node knows
   */
  public record Context(
      PeerNode self,
      Supplier<? extends Collection<PeerNode>> peers,
      IntSupplier nodes,
      ScheduledExecutorService executor,
      BiConsumer<Collection<InetSocketAddress>, Message> sender,
      OriginTable table) {}

  /** A question that was sent to several nodes. */
  private static final class Pending {
    final CompletableFuture<OriginReply> result = new CompletableFuture<>();
    final int receivers;
    final AtomicInteger answers = new AtomicInteger();

    Pending(int receivers) {
      this.receivers = receivers;
    }
  }

  private final Context context;
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
  private final AtomicLong lastNumber = new AtomicLong();

  /** Creates an exchange. */
  public OriginExchange(Context context) {
    this.context = context;
  }

  /** Returns the nodes that keep the origin of a stream, without this one. */
  private List<InetSocketAddress> keepersOf(StreamId id) {
    return Stream.concat(context.peers().get().stream(), Stream.of(context.self()))
        .sorted(Comparator.comparingLong(node -> Long.MAX_VALUE - rank(id, node)))
        .limit(KEEPERS)
        .filter(node -> !node.id().equals(context.self().id()))
        .map(PeerNode::address)
        .toList();
  }

  /** Returns the rank of a node for a stream, at least 0; the highest ones keep the origin. */
  private static long rank(StreamId id, PeerNode node) {
    return Rendezvous.weight(id.high(), Rendezvous.identityOf(node.id())) >>> 1;
  }

  @Override
  public void replicate(Map<StreamId, StreamOrigin> origins) {
    if (context.nodes().getAsInt() == 0) {
      context.executor().schedule(() -> replicate(origins), RETRY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    Map<InetSocketAddress, List<StreamOriginRecord>> byKeeper = new HashMap<>();
    origins.forEach(
        (id, origin) -> {
          for (InetSocketAddress keeper : keepersOf(id)) {
            byKeeper.computeIfAbsent(keeper, none -> new ArrayList<>()).add(record(id, origin));
          }
        });
    byKeeper.forEach(this::report);
  }

  private void report(InetSocketAddress keeper, List<StreamOriginRecord> records) {
    for (int from = 0; from < records.size(); from += MAX_RECORDS_IN_MESSAGE) {
      int until = Math.min(records.size(), from + MAX_RECORDS_IN_MESSAGE);
      context
          .sender()
          .accept(List.of(keeper), new StreamOriginReport(records.subList(from, until)));
    }
  }

  private static StreamOriginRecord record(StreamId id, StreamOrigin origin) {
    return new StreamOriginRecord(id.high(), id.low(), origin.pool(), origin.softwareVersion());
  }

  /** Processes the origins that another node gives into the keeping of this one. */
  void onReport(StreamOriginReport report) {
    for (StreamOriginRecord record : report.getOrigins()) {
      context.table().put(new StreamId(record.getHigh(), record.getLow()), read(record));
    }
  }

  private static StreamOrigin read(StreamOriginRecord record) {
    return new StreamOrigin(record.getPool(), record.getSoftwareVersion());
  }

  @Override
  public CompletableFuture<OriginReply> ask(StreamId id) {
    List<InetSocketAddress> keepers = keepersOf(id);
    if (keepers.isEmpty()) {
      boolean isAlone = context.nodes().getAsInt() == 1;
      return CompletableFuture.completedFuture(
          isAlone ? OriginReply.NOT_KEPT : OriginReply.NO_RESPONSE);
    }
    long number = lastNumber.incrementAndGet();
    Pending question = new Pending(keepers.size());
    pending.put(number, question);
    context.sender().accept(keepers, new StreamOriginQuestion(number, id.high(), id.low()));
    context
        .executor()
        .schedule(() -> onTimeout(number), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    return question.result;
  }

  private void onTimeout(long number) {
    Pending question = pending.get(number);
    if (question != null) {
      complete(number, question.answers.get() > 0 ? OriginReply.NOT_KEPT : OriginReply.NO_RESPONSE);
    }
  }

  private void complete(long number, OriginReply reply) {
    Pending question = pending.remove(number);
    if (question != null) {
      question.result.complete(reply);
    }
  }

  /** Answers a question of another node. */
  void onQuestion(InetSocketAddress sender, StreamOriginQuestion question) {
    StreamId id = new StreamId(question.getHigh(), question.getLow());
    @Nullable StreamOriginRecord origin =
        context.table().get(id).map(known -> record(id, known)).orElse(null);
    context.sender().accept(List.of(sender), new StreamOriginAnswer(question.getNumber(), origin));
  }

  /** Processes an answer: the first one with an origin counts, or the last one without. */
  void onAnswer(StreamOriginAnswer answer) {
    Pending question = pending.get(answer.getNumber());
    if (question == null) {
      return;
    }
    StreamOriginRecord origin = answer.getOrigin();
    if (origin != null) {
      complete(answer.getNumber(), new OriginReply.Kept(read(origin)));
    } else if (question.answers.incrementAndGet() >= question.receivers) {
      complete(answer.getNumber(), OriginReply.NOT_KEPT);
    }
  }
}
