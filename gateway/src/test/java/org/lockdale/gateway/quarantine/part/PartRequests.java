package org.lockdale.gateway.quarantine.part;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.PromptPart;

/** Draws the requests of a {@link PartSimulation}. */
final class PartRequests {

  private static final int CALLERS = 8;
  private static final int FIRST_PARTS = 8;
  private static final int SUBJECTS = 485;

  /** First part of all guilty requests, unless a guilty part precedes it. */
  private static final String SHARED_PART = "f0";

  /**
   * A request of a simulation.
   *
   * @param request the request
   * @param caller name of its caller
   * @param guilty id of the part that crashes servers, or null if it is sound
   */
  record Request(CallerRequest request, String caller, @Nullable String guilty) {

    boolean isSound() {
      return guilty == null;
    }
  }

  private final Random random;
  private final PartPlan plan;
  private int drawn;

  PartRequests(Random random, PartPlan plan) {
    this.random = random;
    this.plan = plan;
  }

  Request sound() {
    boolean hot = random.nextDouble() < plan.callers().hotShare();
    String subject = "s" + (hot ? 0 : random.nextInt(SUBJECTS));
    return request("c" + random.nextInt(CALLERS), null, "f" + random.nextInt(FIRST_PARTS), subject);
  }

  /** Returns a request like no other; it shares its first part and its caller with sound ones. */
  Request guilty(String id) {
    List<String> parts = new ArrayList<>(List.of(SHARED_PART, "s" + random.nextInt(SUBJECTS)));
    parts.add(plan.guilty().depth(), id);
    return request("c" + random.nextInt(plan.guilty().callers()), id, parts.toArray(String[]::new));
  }

  /** Returns whether a sound request has the caller or the first part of guilty ones. */
  boolean isComparable(Request request) {
    boolean sameCaller = Integer.parseInt(request.caller().substring(1)) < plan.guilty().callers();
    return request.isSound()
        && (sameCaller || request.request().promptParts().get(0).id().equals(SHARED_PART));
  }

  private Request request(String caller, @Nullable String guilty, String... shared) {
    List<PromptPart> parts = new ArrayList<>();
    for (String id : shared) {
      parts.add(new PromptPart(id, 100));
    }
    String id = "r" + ++drawn;
    parts.add(new PromptPart(id, 20));
    CallerRequest request =
        new CallerRequest(
            id,
            "POST",
            "/" + id,
            "/" + id,
            "shop.example",
            caller,
            10_000,
            "model",
            parts,
            null,
            null,
            null,
            new DefaultHttpHeaders(),
            new byte[0]);
    return new Request(request, caller, guilty);
  }
}
