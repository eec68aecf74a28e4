package org.lockdale.gateway.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests the measurement of resource usage. */
public final class UsageTest {

  @Test
  public void bytesAreCountedByDirectionAndKind() {
    TrafficMeter meter = new TrafficMeter();
    meter.sent("RelayHeartbeat", 100);
    meter.sent("RelayHeartbeat", 50);
    meter.called("/rows?table=a", 0, 700);
    meter.called("/tables/changes", 30, 40);
    assertEquals(
        meter.totals(),
        Map.of(
            "out/RelayHeartbeat",
            150L,
            "out/rows",
            13L,
            "in/rows",
            700L,
            "out/tables",
            45L,
            "in/tables",
            40L));
  }

  @Test
  public void kindsAreBounded() {
    TrafficMeter meter = new TrafficMeter();
    for (int kind = 0; kind < 1_000; kind++) {
      meter.sent("kind-" + kind, 1);
    }
    assertTrue(meter.totals().size() <= 65, meter.totals().size() + " kinds");
    assertEquals(meter.totals().values().stream().mapToLong(Long::longValue).sum(), 1_000);
  }

  @Test
  public void onlyIncreasesAreReturned() {
    Map<String, Long> before = Map.of("a", 5L, "b", 7L, "ended", 9L);
    Map<String, Long> now = Map.of("a", 5L, "b", 8L, "c", 2L);
    assertEquals(UsageLog.since(before, now), Map.of("b", 1L, "c", 2L));
  }

  private static void thread(Path folder, String number, String name, String times)
      throws IOException {
    Path thread = Files.createDirectory(folder.resolve(number));
    Files.writeString(thread.resolve("comm"), name + "\n");
    Files.writeString(thread.resolve("schedstat"), times + "\n");
  }

  @Test
  public void threadsOfOneKindAreSummed() throws IOException {
    Path folder = Files.createTempDirectory("threads");
    thread(folder, "1", "requests-1-1", "5000000 1 2");
    thread(folder, "2", "requests-1-2", "6000000 1 2");
    thread(folder, "3", "C1 CompilerThre", "7900000 1 2");
    thread(folder, "4", "torn", "");
    Files.createDirectory(folder.resolve("5"));
    assertEquals(
        ProcessorTimes.of(folder).millisByThread(), Map.of("requests", 11L, "C1-CompilerThre", 7L));
  }

  @Test
  public void aSystemWithoutProcessorTimesIsNoError() {
    assertEquals(ProcessorTimes.of(Path.of("/no-such-folder")).millisByThread(), Map.of());
  }
}
