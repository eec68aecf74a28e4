package org.lockdale.soak.run;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** All callers of a run, a thread each. */
final class Callers implements Closeable {

  /** Requests by how they ended. */
  static final class Counts {

    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final AtomicInteger left = new AtomicInteger();

    @Override
    public String toString() {
      return "sent="
          + sent
          + " served="
          + served
          + " refused="
          + refused
          + " failed="
          + failed
          + " left="
          + left;
    }
  }

  private final AtomicBoolean stopping = new AtomicBoolean();
  private final List<Thread> threads = new ArrayList<>();
  private final Counts counts = new Counts();

  Callers(int number, long seed, Entrance entrance, Operator operator, NoteLog notes) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int index = 0; index < number; index++) {
      Caller caller = new Caller(index, random.split(), entrance, operator, notes, counts);
      Thread thread = new Thread(() -> caller.run(stopping), "caller-" + index);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  Counts counts() {
    return counts;
  }

  /** Lets each caller finish its request. */
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
