package org.lockdale.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.lockdale.coordination.time.Time;
import org.testng.annotations.Test;

/** Tests that the wait in a queue is predicted from the rate at which its requests start. */
public final class QueueForecastTest {

  private static final int SEEDS = 200;
  private static final int WAITING = 20;

  /** A clock that the test advances. */
  private static final class ManualTime implements Time {
    private long millis;

    @Override
    public long monotonicMillis() {
      return millis;
    }

    @Override
    public long wallMillis() {
      return millis;
    }
  }

  private final ManualTime time = new ManualTime();
  private final Deque<QueueForecast.Place> places = new ArrayDeque<>();

  private QueueForecast queueOf(int waiting) {
    QueueForecast queue = new QueueForecast(time);
    places.clear();
    for (int request = 0; request < waiting; request++) {
      places.add(queue.join());
    }
    return queue;
  }

  /** Serves requests in order at an interval with 20% noise; one joins for each that starts. */
  private void serve(QueueForecast queue, long intervalMillis, int responses, Random random) {
    for (int response = 0; response < responses; response++) {
      time.millis += Math.round(intervalMillis * (0.8 + 0.4 * random.nextDouble()));
      places.remove().recordStart();
      places.add(queue.join());
    }
  }

  @Test
  public void anEmptyQueuePredictsNoWait() {
    QueueForecast queue = queueOf(0);
    assertEquals(queue.predictMillis(), 0.0);
    QueueForecast.Place place = queue.join();
    time.millis += 60_000;
    place.recordStart();
    assertEquals(queue.predictMillis(), 0.0);
  }

  @Test
  public void rateIsKnownAfterThirtyResponses() {
    for (long interval : new long[] {2, 20, 200, 2_000}) {
      QueueForecast queue = queueOf(WAITING);
      serve(queue, interval, 30, new Random(interval));
      double expected = interval * (WAITING + 1.0);
      assertEquals(queue.predictMillis(), expected, expected * 0.25);
    }
  }

  @Test
  public void aFourfoldChangeIsFollowedWithinTwentyResponses() {
    Random random = new Random(1);
    QueueForecast queue = queueOf(WAITING);
    serve(queue, 40, 100, random);
    serve(queue, 160, 20, random);
    double slow = 160 * (WAITING + 1.0);
    assertEquals(queue.predictMillis(), slow, slow * 0.25);
    serve(queue, 40, 100, random);
    serve(queue, 10, 20, random);
    assertTrue(queue.predictMillis() < 20 * (WAITING + 1.0), "fast again");
  }

  @Test
  public void predictionGrowsSteadilyWhileNothingStarts() {
    QueueForecast queue = queueOf(WAITING);
    double before = queue.predictMillis();
    assertEquals(before, 0.0);
    for (int step = 1; step <= 1_000; step++) {
      time.millis++;
      double after = queue.predictMillis();
      assertEquals(after - before, 1.0, 1e-6);
      before = after;
    }
  }

  @Test
  public void anyOrderOfEventsGivesFinitePredictions() {
    for (long seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      QueueForecast queue = queueOf(0);
      int waiting = 0;
      for (int step = 0; step < 300; step++) {
        time.millis += random.nextInt(3);
        if (places.isEmpty() || random.nextInt(5) < 3) {
          places.add(queue.join());
          waiting++;
        } else {
          QueueForecast.Place place = places.remove();
          end(place, random);
          end(place, random);
          waiting--;
        }
        assertEquals(queue.waiting(), waiting);
        assertTrue(Double.isFinite(queue.predictMillis()));
        assertTrue(waiting > 0 ? queue.predictMillis() >= 0 : queue.predictMillis() == 0);
      }
    }
  }

  private static void end(QueueForecast.Place place, Random random) {
    if (random.nextBoolean()) {
      place.recordStart();
    } else {
      place.leave();
    }
  }
}
