package org.lockdale.soak.run;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Runs all callers of a run, each in a thread of its own. */
final class Callers implements Closeable {

  /** Numbers of requests by outcome. */
  static final class Counts {

    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger rejected = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final AtomicInteger abandoned = new AtomicInteger();

    /** Streams that were taken up again after they had broken off. */
    final AtomicInteger takenUp = new AtomicInteger();

    /** Those of them that went on. */
    final AtomicInteger wentOn = new AtomicInteger();

    @Override
    public String toString() {
      return "sent="
          + sent
          + " served="
          + served
          + " refused="
          + rejected
          + " failed="
          + failed
          + " left="
          + abandoned
          + " taken-up="
          + takenUp
          + " went-on="
          + wentOn;
    }
  }

  private final AtomicBoolean stopping = new AtomicBoolean();
  private final List<Thread> threads = new ArrayList<>();
  private final Counts counts = new Counts();
  private final LoadBalancer loadBalancer;
  private final NoteLog notes;
  private final SplittableRandom random;

  /**
   * Starts the callers.
   *
   * @param number callers that read at once
   * @param slow further callers that read slowly; they draw nothing of what the others draw
   * @param waiting further callers that wait for long responses; they draw nothing of that either
   * @param revoked further callers that use replaced keys; they draw nothing of that either
   * @param resuming further callers that ask for resumable streams; they draw nothing of that
   *     either
   * @param repeating further callers that repeat one request; they draw nothing of that either
   */
  Callers(
      int number,
      int slow,
      int waiting,
      int revoked,
      int resuming,
      int repeating,
      long seed,
      LoadBalancer loadBalancer,
      Operator operator,
      NoteLog notes) {
    this.loadBalancer = loadBalancer;
    this.notes = notes;
    this.random = new SplittableRandom(seed);
    for (int index = 0; index < number; index++) {
      SplittableRandom own = random.split();
      RequestSource source = new MixedRequests(index, own, operator);
      Caller caller = new Caller(index, own, loadBalancer, source, notes, counts);
      start("caller-" + index, () -> caller.run(stopping));
    }
    for (int index = number; index < number + slow; index++) {
      SlowCaller caller = new SlowCaller(index, random.split(), loadBalancer, notes, counts);
      start("slow-caller-" + index, () -> caller.run(stopping));
    }
    startFurther("waiting", waiting, random, LongRequests::new);
    startFurther("revoked", revoked, random, own -> new ReplacedKeyRequests(operator));
    startFurther("resuming", resuming, random, own -> new ResumableStreams());
    startFurther("repeating", repeating, random, own -> new RepeatedRequests());
  }

  /**
   * Starts further callers that repeat failed requests under the same id; they draw nothing of what
   * the others draw.
   */
  void startSameIdCallers(int number) {
    startFurther("same-id", number, random, SameIdRequests::new);
  }

  private void startFurther(
      String kind,
      int number,
      SplittableRandom random,
      Function<SplittableRandom, RequestSource> sources) {
    for (int started = 0; started < number; started++) {
      int index = threads.size();
      SplittableRandom own = random.split();
      Caller caller = new Caller(index, own, loadBalancer, sources.apply(own), notes, counts);
      start(kind + "-caller-" + index, () -> caller.run(stopping));
    }
  }

  private void start(String name, Runnable caller) {
    Thread thread = new Thread(caller, name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  Counts counts() {
    return counts;
  }

  /** Stops the callers and waits until each has finished its current request. */
  void stop() throws InterruptedException {
    stopping.set(true);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  @Override
  public void close() {
    stopping.set(true);
  }
}
