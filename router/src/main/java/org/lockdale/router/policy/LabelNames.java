package org.lockdale.router.policy;

import java.util.Set;

/** Names of the labels that the system sets. */
public final class LabelNames {

  /** Tenant of a request. */
  public static final String TENANT = "tenant";

  /** Model of a request. */
  public static final String MODEL = "model";

  /** Adapter of a request. */
  public static final String ADAPTER = "adapter";

  /** Zone of the node that received a request, or zone of an engine. */
  public static final String ZONE = "zone";

  /** Id of an engine. */
  public static final String ENGINE = "engine";

  /** Labels that a caller can't set. */
  public static final Set<String> RESERVED = Set.of(TENANT, MODEL, ADAPTER, ZONE, ENGINE);

  private LabelNames() {}
}
