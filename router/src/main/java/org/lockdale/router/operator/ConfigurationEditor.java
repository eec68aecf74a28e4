package org.lockdale.router.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.configuration.ResourceKey;
import org.lockdale.coordination.time.Time;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ResourceRecord;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.policy.ConfigurationValidator;
import org.lockdale.router.policy.ResourceDocument;

/**
 * Checks edits against the version that they are based on and proposes them to the configuration
 * history.
 */
public final class ConfigurationEditor {

  private static final byte[] DELETED = new byte[0];

  private final Blackboard blackboard;
  private final Time time;
  private final Function<ConfigurationChange, CompletableFuture<ConfigurationChange>> proposer;
  private final ConfigurationValidator validator = new ConfigurationValidator();

  /**
   * Creates an editor.
   *
   * @param blackboard configuration in force at this node
   * @param time clock
   * @param proposer proposes a change to the history and returns the accepted change
   */
  public ConfigurationEditor(
      Blackboard blackboard,
      Time time,
      Function<ConfigurationChange, CompletableFuture<ConfigurationChange>> proposer) {
    this.blackboard = blackboard;
    this.time = time;
    this.proposer = proposer;
  }

  /**
   * Checks an edit and, unless it is a dry run, proposes it.
   *
   * @return the version it was accepted as, or the base version of a dry run
   * @throws EditRejectedException if the edit is invalid, or based on another version than this
   *     node has
   */
  public CompletableFuture<Long> edit(EditRequest request) {
    ConfigurationState base = blackboard.configuration().value();
    if (request.baseVersion() > base.version()) {
      throw EditRejectedException.nodeBehind(request.baseVersion(), base.version());
    }
    if (request.baseVersion() < base.version()) {
      throw EditRejectedException.conflict(
          "The edit is based on version "
              + request.baseVersion()
              + ", but version "
              + base.version()
              + " is newer; get the new version, check your edit against it and apply it again.");
    }
    ConfigurationChange change = checkedChange(base, request);
    if (request.dryRun()) {
      return CompletableFuture.completedFuture(base.version());
    }
    return proposer.apply(change).thenApply(ConfigurationChange::getVersion);
  }

  private ConfigurationChange checkedChange(ConfigurationState base, EditRequest request) {
    List<String> problems = new ArrayList<>();
    List<ResourceRecord> records = new ArrayList<>();
    for (JsonNode root : request.resources()) {
      ResourceDocument document = ResourceDocument.of(root);
      problems.addAll(validator.checkDocument(document));
      records.add(ConfigurationState.recordOf(document.key(), document.toJson()));
    }
    for (EditRequest.ResourceName name : request.deletions()) {
      ResourceKey key = new ResourceKey(name.kind(), name.name());
      if (!base.resources().containsKey(key)) {
        problems.add(key + " does not exist and can't be deleted");
      }
      records.add(ConfigurationState.recordOf(key, DELETED));
    }
    if (records.isEmpty()) {
      problems.add("the edit changes nothing");
    }
    ConfigurationChange change =
        new ConfigurationChange(
            base.version() + 1,
            UUID.randomUUID().toString(),
            request.author(),
            time.wallMillis(),
            records);
    if (problems.isEmpty()) {
      problems.addAll(validator.checkReferences(base.apply(change)));
    }
    if (!problems.isEmpty()) {
      throw EditRejectedException.invalid(problems);
    }
    return change;
  }
}
