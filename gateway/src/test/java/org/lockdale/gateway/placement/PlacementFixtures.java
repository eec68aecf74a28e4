package org.lockdale.gateway.placement;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.MissingPrefix;
import org.lockdale.gateway.caller.PromptPart;

/** Engines and prompts for tests of placement. */
final class PlacementFixtures {

  private PlacementFixtures() {}

  static List<TrackedBackend> engines(int count) {
    List<TrackedBackend> engines = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      engines.add(engine("i-" + index, "zone-a"));
    }
    return engines;
  }

  static TrackedBackend engine(String id, String zone) {
    return TrackedBackend.of(
        new Backend(
            id,
            "pool",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
            zone,
            4,
            false,
            Map.of()));
  }

  static PromptPlacement prompt(String shared) {
    return PromptPlacement.of(
        List.of(
            new PromptPart("root", 500),
            new PromptPart(shared, 5_000),
            new PromptPart("own", 100)));
  }

  static MissingPrefix newPrefix(PromptPlacement prompt) {
    return new MissingPrefix(0, 0, prompt == null ? 0 : prompt.sharedTokens());
  }
}
