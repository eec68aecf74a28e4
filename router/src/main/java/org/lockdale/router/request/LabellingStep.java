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
 * Derives the labels of the request: those of its tenant, its model and this node's zone, and those
 * that the caller sets in {@code metadata}. A caller can't set a reserved label or one that its
 * tenant has, unless to the same value.
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
    for (Map.Entry<String, String> requested : context.request.metadata().entrySet()) {
      boolean reserved =
          LabelNames.RESERVED.contains(requested.getKey())
              || labels.containsKey(requested.getKey());
      if (reserved && !requested.getValue().equals(labels.get(requested.getKey()))) {
        throw RequestException.builder(
                ErrorKind.LABEL_NOT_ALLOWED,
                "The label '" + requested.getKey() + "' is reserved or set by the tenant.")
            .parameter("metadata." + requested.getKey())
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
