package org.lockdale.soak.link;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.soak.plan.Fault.ConnectTrouble;
import org.lockdale.soak.plan.Fault.OpenTrouble;

/** Links whose source reaches the destination at an address that no other process uses. */
public final class PairLinks implements Closeable {

  private record PairLink(LinkState state, PairListener listener) {}

  private final Map<String, List<PairLink>> links = new HashMap<>();

  /** Numbers of cuts that have not ended, by source. */
  private final Map<String, Integer> cuts = new HashMap<>();

  PairLinks() {}

  synchronized void add(String source, LinkState state, PairListener listener) {
    links.computeIfAbsent(source, name -> new ArrayList<>()).add(new PairLink(state, listener));
  }

  /**
   * Cuts all links of a source. During another cut of the same source, only its open connections
   * may be affected.
   *
   * @param connects what happens to new connections
   * @param open what happens to open connections
   */
  public synchronized void cut(String source, ConnectTrouble connects, OpenTrouble open) {
    boolean first = cuts.merge(source, 1, Integer::sum) == 1;
    for (PairLink link : links.get(source)) {
      if (first) {
        link.listener().fail(connects);
        link.state().setSevered(true);
      }
      if (open == OpenTrouble.RESET) {
        link.state().reset();
      }
    }
  }

  /** Ends a cut; the links work again once no other cut of the source is left. */
  public synchronized void restore(String source) {
    if (cuts.merge(source, -1, Integer::sum) == 0) {
      for (PairLink link : links.get(source)) {
        link.listener().restore();
        link.state().setSevered(false);
      }
    }
  }

  @Override
  public synchronized void close() {
    links.values().forEach(each -> each.forEach(link -> link.listener().close()));
  }
}
