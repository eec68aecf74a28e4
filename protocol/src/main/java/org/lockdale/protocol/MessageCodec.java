package org.lockdale.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.apache.avro.specific.SpecificDatumReader;
import org.apache.avro.specific.SpecificDatumWriter;
import org.apache.avro.specific.SpecificRecordBase;
import org.apache.avro.util.ClassSecurityValidator;
import org.lockdale.protocol.generated.ClaimRecord;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationSnapshot;
import org.lockdale.protocol.generated.LeaseRecord;
import org.lockdale.protocol.generated.NamedWeightsRecord;
import org.lockdale.protocol.generated.NodeDatagram;
import org.lockdale.protocol.generated.NodeRecord;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.protocol.generated.TableSlice;
import org.lockdale.protocol.generated.TableSliceRequest;

/**
 * Encodes and decodes one type of message with Avro. Each encoding starts with the 64-bit
 * fingerprint of the writer's schema, so that a reader can tell a schema it does not know from
 * damaged bytes and can read those of earlier versions.
 *
 * @param <T> the generated class
 */
public final class MessageCodec<T extends SpecificRecordBase> {

  /** Bytes of the schema fingerprint in front of every encoding. */
  public static final int FINGERPRINT_BYTES = Long.BYTES;

  static {
    // Avro instantiates only classes it is told to trust; the predicate of before is kept, since an
    // embedding program may trust classes of its own.
    ClassSecurityValidator.setGlobal(
        ClassSecurityValidator.composite(
            ClassSecurityValidator.getGlobal(),
            type -> type.getPackageName().equals(PeerMessage.class.getPackageName())));
  }

  private final SchemaHistory history;
  private final SpecificDatumWriter<T> writer;
  private final Schema readerSchema;
  private final long fingerprint;

  /** Readers are costly to resolve and not safe for use by several threads. */
  private final ThreadLocal<Map<Long, SpecificDatumReader<T>>> readers =
      ThreadLocal.withInitial(HashMap::new);

  private MessageCodec(Schema schema, SchemaHistory history) {
    this.history = history;
    this.readerSchema = schema;
    this.writer = new SpecificDatumWriter<>(schema);
    this.fingerprint = SchemaNormalization.parsingFingerprint64(schema);
  }

  /** Returns a codec of node-to-node messages. */
  public static MessageCodec<PeerMessage> peerMessages() {
    return forSchema(PeerMessage.getClassSchema());
  }

  /** Returns a codec of configuration changes as kept in the table service. */
  public static MessageCodec<ConfigurationChange> configurationChanges() {
    return forSchema(ConfigurationChange.getClassSchema());
  }

  /** Returns a codec of configuration snapshots as kept in the table service. */
  public static MessageCodec<ConfigurationSnapshot> configurationSnapshots() {
    return forSchema(ConfigurationSnapshot.getClassSchema());
  }

  /** Returns a codec of run-once claims as kept in the table service. */
  public static MessageCodec<ClaimRecord> claims() {
    return forSchema(ClaimRecord.getClassSchema());
  }

  /** Returns a codec of leases as kept in the table service. */
  public static MessageCodec<LeaseRecord> leases() {
    return forSchema(LeaseRecord.getClassSchema());
  }

  /** Returns a codec of the addresses of nodes as kept in the table service. */
  public static MessageCodec<NodeRecord> nodes() {
    return forSchema(NodeRecord.getClassSchema());
  }

  /** Returns a codec of when weights were named, as kept in the table service. */
  public static MessageCodec<NamedWeightsRecord> namedWeights() {
    return forSchema(NamedWeightsRecord.getClassSchema());
  }

  /** Returns a codec of the datagrams between gateway nodes. */
  public static MessageCodec<NodeDatagram> nodeDatagrams() {
    return forSchema(NodeDatagram.getClassSchema());
  }

  /** Returns a codec of requests for parts of tables. */
  public static MessageCodec<TableSliceRequest> tableSliceRequests() {
    return forSchema(TableSliceRequest.getClassSchema());
  }

  /** Returns a codec of parts of tables. */
  public static MessageCodec<TableSlice> tableSlices() {
    return forSchema(TableSlice.getClassSchema());
  }

  /** Returns a codec that writes a schema and reads it alone. */
  public static <T extends SpecificRecordBase> MessageCodec<T> forSchema(Schema schema) {
    return forSchema(schema, SchemaHistory.of(schema));
  }

  /**
   * Returns a codec that reads several versions of a schema.
   *
   * @param schema the schema to write, and to read into
   * @param history all schemas whose encodings are understood
   */
  public static <T extends SpecificRecordBase> MessageCodec<T> forSchema(
      Schema schema, SchemaHistory history) {
    return new MessageCodec<>(schema, history);
  }

  /** Encodes a message. */
  public byte[] encode(T message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    try {
      writeFingerprint(bytes);
      writer.write(message, encoder);
      encoder.flush();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return bytes.toByteArray();
  }

  private void writeFingerprint(ByteArrayOutputStream bytes) {
    for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
      bytes.write((int) (fingerprint >>> shift));
    }
  }

  /**
   * Decodes a message.
   *
   * @throws MessageFormatException if the bytes are damaged or of an unknown schema
   */
  public T decode(byte[] bytes) {
    if (bytes.length < FINGERPRINT_BYTES) {
      throw new MessageFormatException("the message is shorter than its schema fingerprint");
    }
    SpecificDatumReader<T> reader = readerOf(readFingerprint(bytes));
    try {
      return reader.read(
          null,
          DecoderFactory.get()
              .binaryDecoder(bytes, FINGERPRINT_BYTES, bytes.length - FINGERPRINT_BYTES, null));
    } catch (IOException | RuntimeException damaged) {
      throw new MessageFormatException("the message is damaged: " + damaged);
    }
  }

  private SpecificDatumReader<T> readerOf(long writerFingerprint) {
    Map<Long, SpecificDatumReader<T>> known = readers.get();
    SpecificDatumReader<T> reader = known.get(writerFingerprint);
    if (reader == null) {
      reader = new SpecificDatumReader<>(history.find(writerFingerprint), readerSchema);
      known.put(writerFingerprint, reader);
    }
    return reader;
  }

  private static long readFingerprint(byte[] bytes) {
    long value = 0;
    for (int index = FINGERPRINT_BYTES - 1; index >= 0; index--) {
      value = value << Byte.SIZE | bytes[index] & 0xFF;
    }
    return value;
  }
}
