package org.lockdale.soak.run;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.soak.standin.StandardStreams;
import org.tinylog.Logger;

/** Writes to the store through commands to its process. Thread-safe. */
final class StoreControl {

  private final ManagedProcess process;
  private final Map<Long, CompletableFuture<Long>> pending = new ConcurrentHashMap<>();
  private final Map<String, String> lastWritten = new HashMap<>();
  private long commands;

  StoreControl(ManagedProcess process) {
    this.process = process;
  }

  /** Writes a row; the future gets the time in milliseconds at which the store acknowledged it. */
  CompletableFuture<Long> put(String table, String key, String json) {
    return send("put " + table + " " + key + " " + json);
  }

  /** Writes a row unless its value is unchanged, as the platform does with heartbeats. */
  synchronized void putIfChanged(String table, String key, String json) {
    if (!json.equals(lastWritten.put(table + "/" + key, json))) {
      put(table, key, json);
    }
  }

  /** Removes a row that {@link #putIfChanged} wrote, unless it was removed already. */
  synchronized void removeIfPresent(String table, String key) {
    if (lastWritten.containsKey(table + "/" + key)) {
      remove(table, key);
    }
  }

  /** Removes a row; the future gets the time in milliseconds at which the store acknowledged it. */
  synchronized CompletableFuture<Long> remove(String table, String key) {
    lastWritten.remove(table + "/" + key);
    return send("remove " + table + " " + key);
  }

  /** Sets the fault with which the store responds from now on, by its name. */
  void setFault(String fault) {
    send("fault " + fault);
  }

  /**
   * Sets the fault with which the store responds to one node from now on.
   *
   * @param node number of the node, from 1
   * @param fault name of the fault
   */
  void setFaultFor(int node, String fault) {
    send("faultFor " + node + " " + fault);
  }

  /** Lets the store discard the history of its changes. */
  void discardHistory() {
    send("forget");
  }

  private synchronized CompletableFuture<Long> send(String command) {
    long number = ++commands;
    CompletableFuture<Long> acknowledged = new CompletableFuture<>();
    pending.put(number, acknowledged);
    try {
      process.send(number + " " + command);
    } catch (IOException failed) {
      Logger.warn("event=store-command-failed command={} cause={}", command, failed.toString());
    }
    return acknowledged;
  }

  /** Processes a line that the store's process wrote. */
  void receive(String line) {
    if (line.startsWith(StandardStreams.DONE)) {
      String[] fields = line.split(" ");
      CompletableFuture<Long> acknowledged = pending.remove(Long.parseLong(fields[1]));
      if (acknowledged != null) {
        acknowledged.complete(Long.parseLong(fields[2]));
      }
    }
  }
}
