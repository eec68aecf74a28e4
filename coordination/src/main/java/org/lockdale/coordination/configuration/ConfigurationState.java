package org.lockdale.coordination.configuration;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationSnapshot;
import org.lockdale.protocol.generated.ResourceRecord;

/**
 * All resources at one version. Immutable.
 *
 * @param version version of the last change that is included; 0 before the first change
 * @param resources JSON documents by resource
 */
public record ConfigurationState(long version, SortedMap<ResourceKey, byte[]> resources) {

  /** The state before the first change. */
  public static final ConfigurationState EMPTY =
      new ConfigurationState(0, Collections.emptySortedMap());

  /** Returns the state that a snapshot contains. */
  public static ConfigurationState of(ConfigurationSnapshot snapshot) {
    return new ConfigurationState(snapshot.getVersion(), merge(EMPTY, snapshot.getResources()));
  }

  /**
   * Returns the state after a change.
   *
   * @throws IllegalArgumentException if the version of the change is not the next one
   */
  public ConfigurationState apply(ConfigurationChange change) {
    if (change.getVersion() != version + 1) {
      throw new IllegalArgumentException(
          "change " + change.getVersion() + " does not follow version " + version);
    }
    return new ConfigurationState(change.getVersion(), merge(this, change.getResources()));
  }

  private static SortedMap<ResourceKey, byte[]> merge(
      ConfigurationState base, List<ResourceRecord> records) {
    TreeMap<ResourceKey, byte[]> merged = new TreeMap<>(base.resources());
    for (ResourceRecord record : records) {
      ResourceKey key = new ResourceKey(record.getKind(), record.getName());
      byte[] document = bytesOf(record.getDocument());
      if (document.length == 0) {
        merged.remove(key);
      } else {
        merged.put(key, document);
      }
    }
    return Collections.unmodifiableSortedMap(merged);
  }

  private static byte[] bytesOf(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.duplicate().get(bytes);
    return bytes;
  }

  /** Returns this state as a snapshot message. */
  public ConfigurationSnapshot toSnapshot() {
    List<ResourceRecord> records = new ArrayList<>(resources.size());
    resources.forEach((key, document) -> records.add(recordOf(key, document)));
    return new ConfigurationSnapshot(version, records);
  }

  /** Returns a record that sets a resource, or deletes it if the document is empty. */
  public static ResourceRecord recordOf(ResourceKey key, byte[] document) {
    return new ResourceRecord(key.kind(), key.name(), ByteBuffer.wrap(document));
  }
}
