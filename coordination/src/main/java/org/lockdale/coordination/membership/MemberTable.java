package org.lockdale.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.protocol.generated.MemberStatus;

/** The known state of all other members and the order in which they are probed. */
final class MemberTable {

  private final UniformRandomProvider random;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> statusSinceMillis = new HashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private int nextProbeIndex;

  MemberTable(UniformRandomProvider random) {
    this.random = random;
  }

  @Nullable Member get(String id) {
    return members.get(id);
  }

  Collection<Member> all() {
    return members.values();
  }

  /** Returns all members that are not dead. */
  List<Member> reachable() {
    return candidates(Member::isReachable);
  }

  void put(Member member, long nowMillis) {
    Member before = members.put(member.id(), member);
    if (before == null) {
      // A random position prevents nodes that learn of members in the same order from probing the
      // same members at the same time.
      probeOrder.add(random.nextInt(probeOrder.size() + 1), member.id());
    }
    if (before == null || before.status() != member.status()) {
      statusSinceMillis.put(member.id(), nowMillis);
    }
  }

  /**
   * Moves the times of all status changes forward, after a pause in which this node received
   * nothing.
   */
  void shiftStatusTimes(long millis) {
    statusSinceMillis.replaceAll((id, since) -> since + millis);
  }

  List<Member> withStatusForAtLeast(MemberStatus status, long millis, long nowMillis) {
    List<Member> found = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.status() == status && nowMillis - statusSinceMillis.get(member.id()) >= millis) {
        found.add(member);
      }
    }
    return found;
  }

  void remove(String id) {
    members.remove(id);
    statusSinceMillis.remove(id);
    probeOrder.remove(id);
  }

  /** Returns the next member to probe; each reachable one is returned once per round. */
  Optional<Member> nextToProbe() {
    for (int attempts = 0; attempts < probeOrder.size(); attempts++) {
      if (nextProbeIndex >= probeOrder.size()) {
        nextProbeIndex = 0;
        shuffleProbeOrder();
      }
      Member candidate = members.get(probeOrder.get(nextProbeIndex));
      nextProbeIndex++;
      if (candidate != null && candidate.isReachable()) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private void shuffleProbeOrder() {
    for (int last = probeOrder.size() - 1; last > 0; last--) {
      int other = random.nextInt(last + 1);
      String swapped = probeOrder.get(last);
      probeOrder.set(last, probeOrder.get(other));
      probeOrder.set(other, swapped);
    }
  }

  /** Returns up to {@code count} distinct random members that meet a condition. */
  List<Member> sample(int count, Predicate<Member> condition) {
    List<Member> candidates = candidates(condition);
    List<Member> chosen = new ArrayList<>(Math.min(count, candidates.size()));
    while (chosen.size() < count && !candidates.isEmpty()) {
      chosen.add(removeRandom(candidates));
    }
    return chosen;
  }

  /**
   * Returns up to {@code count} distinct random members that meet a condition, from as many zones
   * as possible. During a network partition between two zones, only members of a third zone reach
   * both.
   */
  List<Member> sampleAcrossZones(int count, Predicate<Member> condition) {
    List<Member> candidates = candidates(condition);
    List<Member> sameZone = new ArrayList<>();
    Set<String> zones = new HashSet<>();
    List<Member> chosen = new ArrayList<>(count);
    while (chosen.size() < count && !candidates.isEmpty()) {
      Member candidate = removeRandom(candidates);
      boolean newZone = zones.add(candidate.zone());
      (newZone ? chosen : sameZone).add(candidate);
    }
    while (chosen.size() < count && !sameZone.isEmpty()) {
      chosen.add(removeRandom(sameZone));
    }
    return chosen;
  }

  private List<Member> candidates(Predicate<Member> condition) {
    List<Member> candidates = new ArrayList<>();
    for (Member member : members.values()) {
      if (condition.test(member)) {
        candidates.add(member);
      }
    }
    // Sorted, since otherwise the iteration order of the map would make simulations with the same
    // seed differ.
    candidates.sort(Comparator.comparing(Member::id));
    return candidates;
  }

  private Member removeRandom(List<Member> candidates) {
    return candidates.remove(random.nextInt(candidates.size()));
  }

  /**
   * Returns a digest of this node and all reachable members, regardless of their order. It excludes
   * dead members, since nodes remove them at different times, and the status of members, since
   * suspicion is short-lived.
   */
  long digestWith(Member self) {
    long digest = digestOf(self);
    for (Member member : members.values()) {
      if (member.isReachable()) {
        digest += digestOf(member);
      }
    }
    return digest;
  }

  private static long digestOf(Member member) {
    return Rendezvous.weight(Rendezvous.identityOf(member.id()), member.incarnation());
  }
}
