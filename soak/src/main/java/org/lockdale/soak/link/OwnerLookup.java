package org.lockdale.soak.link;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/** Looks up the owners of connections in a thread of its own, all pending ones at once. */
final class OwnerLookup implements Closeable {

  private final BlockingQueue<Consumer<ConnectionOwners>> pending = new LinkedBlockingQueue<>();
  private final Map<String, Long> processes = new ConcurrentHashMap<>();
  private final Thread thread = new Thread(this::run, "connection-owners");

  OwnerLookup() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Sets the id of a process, by which its connections are found. */
  void setProcess(String name, long processId) {
    processes.put(name, processId);
  }

  /** Calls an action with a snapshot of the owners that is read after this call. */
  void request(Consumer<ConnectionOwners> action) {
    pending.add(action);
  }

  private void run() {
    List<Consumer<ConnectionOwners>> actions = new ArrayList<>();
    try {
      while (true) {
        actions.add(pending.take());
        pending.drainTo(actions);
        ConnectionOwners owners = ConnectionOwners.read(processes);
        actions.forEach(action -> action.accept(owners));
        actions.clear();
      }
    } catch (InterruptedException | RejectedExecutionException closed) {
      Thread.currentThread().interrupt();
    } catch (IOException noTables) {
      throw new UncheckedIOException(noTables);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
