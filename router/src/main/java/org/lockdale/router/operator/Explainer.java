package org.lockdale.router.operator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lockdale.coordination.time.Time;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.placement.CacheSalt;
import org.lockdale.router.placement.EngineChooser;
import org.lockdale.router.placement.Placement;
import org.lockdale.router.placement.PlacementRequest;
import org.lockdale.router.placement.Popularity;
import org.lockdale.router.placement.PrefixIndex;
import org.lockdale.router.policy.LabelNames;
import org.lockdale.router.policy.PolicySet;
import org.lockdale.router.policy.Route;
import org.lockdale.router.policy.ServedModel;
import org.lockdale.router.policy.Tenant;

/** Explains which routes match a request and which engine would serve it, without serving it. */
public final class Explainer {

  private static final int BYTES_PER_TOKEN = 4;

  private final Blackboard blackboard;
  private final PrefixIndex prefixes;
  private final String zone;
  private final Time time;

  /** Creates an explainer for a node. */
  public Explainer(Blackboard blackboard, PrefixIndex prefixes, String zone, Time time) {
    this.blackboard = blackboard;
    this.prefixes = prefixes;
    this.zone = zone;
    this.time = time;
  }

  /** Explains a request. */
  public Explanation explain(ExplainRequest request) {
    PolicySet policies = blackboard.policies().value();
    Map<String, String> labels = labelsOf(request, policies);
    List<Explanation.RouteLine> routes = new ArrayList<>();
    for (Route route : policies.routes()) {
      routes.add(
          new Explanation.RouteLine(route.name(), route.order(), route.requests().matches(labels)));
    }
    Optional<Route> route = policies.routeOf(labels);
    ServedModel model = policies.models().get(request.model());
    if (route.isEmpty() || model == null) {
      String reason = model == null ? "the model does not exist" : "no route matches the labels";
      return new Explanation(policies.version(), labels, routes, "", "", List.of(), "", reason);
    }
    return explainChoice(request, policies, labels, routes, route.get(), model);
  }

  private Explanation explainChoice(
      ExplainRequest request,
      PolicySet policies,
      Map<String, String> labels,
      List<Explanation.RouteLine> routes,
      Route route,
      ServedModel model) {
    PlacementRequest placement = placementOf(request, route, model);
    long now = time.monotonicMillis();
    Optional<Placement> chosen =
        EngineChooser.choose(
            placement,
            prefixes.match(placement.chain(), now),
            blackboard.engines().value(),
            policies,
            zone,
            now);
    List<Explanation.EngineLine> engines = new ArrayList<>();
    for (EngineView engine : blackboard.engines().value().engines()) {
      engines.add(
          new Explanation.EngineLine(
              engine.id(), engine.zone(), obstacleOf(placement, engine, now)));
    }
    return new Explanation(
        policies.version(),
        labels,
        routes,
        route.name(),
        route.priority().name(),
        engines,
        chosen.map(found -> found.engine().id()).orElse(""),
        chosen.map(Explainer::describeChoice).orElse("no allowed engine is available"));
  }

  private static String describeChoice(Placement placement) {
    return String.format(
        Locale.ROOT,
        "lowest cost; first token expected in %.1f ms, %d prompt tokens estimated to be cached",
        placement.expectedMillis(),
        placement.estimatedCachedTokens());
  }

  private static PlacementRequest placementOf(
      ExplainRequest request, Route route, ServedModel model) {
    byte[] prompt = request.prompt().getBytes(StandardCharsets.UTF_8);
    CacheSalt salt = CacheSalt.of(request.tenant(), model, model.weightsVersion());
    return new PlacementRequest(
        model.model(),
        model.weightsVersion(),
        route.engines(),
        Set.of(),
        salt.chainOf(prompt),
        Math.max(1, prompt.length / BYTES_PER_TOKEN),
        route.priority().level(),
        Popularity.RARE);
  }

  private Map<String, String> labelsOf(ExplainRequest request, PolicySet policies) {
    Map<String, String> labels = new HashMap<>(request.metadata());
    for (Tenant tenant : policies.tenantsByKeyHash().values()) {
      if (tenant.name().equals(request.tenant())) {
        labels.putAll(tenant.labels());
      }
    }
    labels.put(LabelNames.ZONE, zone);
    ServedModel model = policies.models().get(request.model());
    if (model != null) {
      labels.put(LabelNames.MODEL, model.model());
      if (!model.adapter().isEmpty()) {
        labels.put(LabelNames.ADAPTER, model.adapter());
      }
    }
    return new TreeMap<>(labels);
  }

  private static String obstacleOf(PlacementRequest request, EngineView engine, long now) {
    if (!request.engineSelector().matches(engine.labels())) {
      return "the route's engine selector does not match its labels";
    }
    if (engine.leaving()) {
      return "it is draining";
    }
    if (engine.incarnation().isEmpty()) {
      return "it has not reported its state yet";
    }
    if (engine.activity().isAvoided(now)) {
      return "it failed recently and is temporarily avoided";
    }
    String held = engine.weights().get(request.model());
    if (!request.weightsVersion().equals(held)) {
      return "it holds weights version " + held + " of the model";
    }
    return "";
  }
}
