package org.lockdale.router.request;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.policy.LabelNames;
import org.lockdale.router.policy.ServedModel;
import org.lockdale.router.policy.Tenant;

/**
 * Derives the labels of the request: those of its tenant, of its model and of this node's zone, and
 * what the caller adds in {@code metadata}. A caller can't set a label that the system or its
 * tenant already has, unless to the same value.
 */
final class LabellingStep implements RequestStep {

  private final String zone;

  LabellingStep(String zone) {
    this.zone = zone;
  }

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    Map<String, String> labels = systemLabels(context.tenant, context.model, zone);
    Map<String, String> all = new HashMap<>(context.request.metadata());
    for (Map.Entry<String, String> claimed : context.request.metadata().entrySet()) {
      boolean reserved =
          LabelNames.RESERVED.contains(claimed.getKey()) || labels.containsKey(claimed.getKey());
      if (reserved && !claimed.getValue().equals(labels.get(claimed.getKey()))) {
        throw RequestException.builder(
                ErrorKind.LABEL_NOT_ALLOWED,
                "The label '" + claimed.getKey() + "' is not the caller's to choose.")
            .parameter("metadata." + claimed.getKey())
            .build();
      }
    }
    all.putAll(labels);
    context.labels = Map.copyOf(all);
    return CONTINUE;
  }

  /** Returns the labels that do not depend on the caller. */
  static Map<String, String> systemLabels(Tenant tenant, ServedModel model, String zone) {
    Map<String, String> labels = new HashMap<>(tenant.labels());
    labels.put(LabelNames.TENANT, tenant.name());
    labels.put(LabelNames.MODEL, model.model());
    labels.put(LabelNames.ZONE, zone);
    if (!model.adapter().isEmpty()) {
      labels.put(LabelNames.ADAPTER, model.adapter());
    }
    return labels;
  }
}
