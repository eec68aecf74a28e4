package org.lockdale.soak.run;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.soak.standin.StandardStreams;
import org.tinylog.Logger;

/** The store as the operator and the servers write to it. Thread-safe. */
final class StoreControl {

  private final ManagedProcess process;
  private final Map<Long, CompletableFuture<Long>> open = new ConcurrentHashMap<>();
  private final Map<String, String> written = new HashMap<>();
  private long commands;

  StoreControl(ManagedProcess process) {
    this.process = process;
  }

  /** Writes a row; the result is when the store acknowledged it. */
  CompletableFuture<Long> put(String table, String key, String json) {
    return say("put " + table + " " + key + " " + json);
  }

  /** Writes a row unless it already says so, as the platform does with heartbeats. */
  synchronized void putIfChanged(String table, String key, String json) {
    if (!json.equals(written.put(table + "/" + key, json))) {
      put(table, key, json);
    }
  }

  /** Removes a row that was written as a heartbeat, if it is still there. */
  synchronized void removeIfPresent(String table, String key) {
    if (written.containsKey(table + "/" + key)) {
      remove(table, key);
    }
  }

  /** Removes a row; the result is when the store acknowledged it. */
  synchronized CompletableFuture<Long> remove(String table, String key) {
    written.remove(table + "/" + key);
    return say("remove " + table + " " + key);
  }

  /** Sets a fault of the store, by its name. */
  void fault(String fault) {
    say("fault " + fault);
  }

  void forget() {
    say("forget");
  }

  private synchronized CompletableFuture<Long> say(String command) {
    long number = ++commands;
    CompletableFuture<Long> acknowledged = new CompletableFuture<>();
    open.put(number, acknowledged);
    try {
      process.say(number + " " + command);
    } catch (IOException ended) {
      Logger.warn("event=store-command-failed command={} cause={}", command, ended.toString());
    }
    return acknowledged;
  }

  /** Takes a line that the store's process wrote. */
  void hear(String line) {
    if (line.startsWith(StandardStreams.DONE)) {
      String[] words = line.split(" ");
      CompletableFuture<Long> done = open.remove(Long.parseLong(words[1]));
      if (done != null) {
        done.complete(Long.parseLong(words[2]));
      }
    }
  }
}
