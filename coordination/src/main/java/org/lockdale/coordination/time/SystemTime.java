package org.lockdale.coordination.time;

import java.util.concurrent.TimeUnit;

/** The machine's clocks. */
public final class SystemTime implements Time {

  @Override
  public long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
