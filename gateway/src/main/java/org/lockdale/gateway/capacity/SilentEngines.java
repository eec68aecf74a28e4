package org.lockdale.gateway.capacity;

import org.lockdale.gateway.backend.TrackedBackend;

/** Port through which placement leaves out silent engines. Thread-safe. */
public interface SilentEngines {

  /** No engine is silent. */
  SilentEngines NONE =
      new SilentEngines() {
        @Override
        public boolean isAnySilent() {
          return false;
        }

        @Override
        public boolean isSilent(TrackedBackend engine) {
          return false;
        }

        @Override
        public boolean isProbeDue(TrackedBackend engine, long nowMillis) {
          return false;
        }

        @Override
        public boolean tryProbe(TrackedBackend engine, long nowMillis) {
          return false;
        }
      };

  /** Returns whether any engine of any pool has stopped responding to all nodes. */
  boolean isAnySilent();

  /** Returns whether an engine has stopped responding to all nodes. */
  boolean isSilent(TrackedBackend engine);

  /** Returns whether a request may be placed at a silent engine to find out whether it responds. */
  boolean isProbeDue(TrackedBackend engine, long nowMillis);

  /**
   * Claims the placement of a request at a silent engine.
   *
   * @return whether the request may be placed there; false if another has claimed it
   */
  boolean tryProbe(TrackedBackend engine, long nowMillis);
}
