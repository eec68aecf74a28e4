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

/** Beliefs of all other members, with the order in which they are probed. */
final class MemberTable {

  private final UniformRandomProvider random;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> statusSince = new HashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private int nextProbe;

  MemberTable(UniformRandomProvider random) {
    this.random = random;
  }

  @Nullable Member get(String id) {
    return members.get(id);
  }

  Collection<Member> all() {
    return members.values();
  }

  /** Returns the members that can be expected to answer. */
  List<Member> reachable() {
    return candidates(Member::isReachable);
  }

  void put(Member member, long nowMillis) {
    Member before = members.put(member.id(), member);
    if (before == null) {
      // A random position keeps two nodes that learn members in one order from probing in step.
      probeOrder.add(random.nextInt(probeOrder.size() + 1), member.id());
    }
    if (before == null || before.status() != member.status()) {
      statusSince.put(member.id(), nowMillis);
    }
  }

  /** Moves the time of every status change, after a pause in which this node saw nothing. */
  void shiftStatusTimes(long millis) {
    statusSince.replaceAll((id, since) -> since + millis);
  }

  List<Member> inStatusLongerThan(MemberStatus status, long millis, long nowMillis) {
    List<Member> found = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.status() == status && nowMillis - statusSince.get(member.id()) >= millis) {
        found.add(member);
      }
    }
    return found;
  }

  void remove(String id) {
    members.remove(id);
    statusSince.remove(id);
    probeOrder.remove(id);
  }

  /** Returns the next member to probe; each is met once before any is met again. */
  Optional<Member> nextToProbe() {
    for (int tried = 0; tried < probeOrder.size(); tried++) {
      if (nextProbe >= probeOrder.size()) {
        nextProbe = 0;
        shuffleProbeOrder();
      }
      Member candidate = members.get(probeOrder.get(nextProbe));
      nextProbe++;
      if (candidate != null && candidate.isReachable()) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  private void shuffleProbeOrder() {
    for (int last = probeOrder.size() - 1; last > 0; last--) {
      int other = random.nextInt(last + 1);
      String moved = probeOrder.get(last);
      probeOrder.set(last, probeOrder.get(other));
      probeOrder.set(other, moved);
    }
  }

  /** Returns up to a number of distinct random members that meet a condition. */
  List<Member> sample(int count, Predicate<Member> condition) {
    List<Member> candidates = candidates(condition);
    List<Member> chosen = new ArrayList<>(Math.min(count, candidates.size()));
    while (chosen.size() < count && !candidates.isEmpty()) {
      chosen.add(removeRandom(candidates));
    }
    return chosen;
  }

  /**
   * Returns up to a number of random members that meet a condition, from as many zones as possible:
   * where the way between two zones is cut, only a third zone can tell.
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
    // The table's iteration order must not decide, or runs of one seed would differ.
    candidates.sort(Comparator.comparing(Member::id));
    return candidates;
  }

  private Member removeRandom(List<Member> candidates) {
    return candidates.remove(random.nextInt(candidates.size()));
  }

  /**
   * Returns a digest of the beliefs, in which the order of members plays no part. Dead members are
   * left out, since nodes forget them at different times; suspicion is left out as short-lived.
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
