package org.lockdale.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.jspecify.annotations.Nullable;
import org.lockdale.protocol.generated.CapacityDatagram;
import org.lockdale.protocol.generated.ClaimRecord;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationSnapshot;
import org.lockdale.protocol.generated.DrainDatagram;
import org.lockdale.protocol.generated.LeaseRecord;
import org.lockdale.protocol.generated.NamedWeightsRecord;
import org.lockdale.protocol.generated.NodeDatagram;
import org.lockdale.protocol.generated.NodeNotice;
import org.lockdale.protocol.generated.NodeRecord;
import org.lockdale.protocol.generated.OriginDatagram;
import org.lockdale.protocol.generated.PartDatagram;
import org.lockdale.protocol.generated.PartSuspectRecord;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.protocol.generated.RateDatagram;
import org.lockdale.protocol.generated.RateUseDatagram;
import org.lockdale.protocol.generated.SoftwareVersionRecord;
import org.lockdale.protocol.generated.StreamOriginReport;
import org.lockdale.protocol.generated.SuspectRecord;
import org.lockdale.protocol.generated.TableSlice;
import org.lockdale.protocol.generated.TableSliceRequest;
import org.lockdale.protocol.generated.TenantLevelsRecord;
import org.lockdale.protocol.generated.TicketDatagram;
import org.lockdale.protocol.generated.TrialClaimRecord;

/**
 * Encodes and decodes one type of message with Avro. Each encoding starts with the 64-bit
 * fingerprint of the writer's schema, so that a reader can distinguish an unknown schema from
 * damaged bytes and can read messages of earlier schemas.
 *
 * <p>The fingerprints of the current schemas are constants. Computing them would require a node to
 * parse the schemas at each start, which takes longer than the rest of the initialization of
 * messaging.
 *
 * @param <T> generated class of the message
 */
public final class MessageCodec<T extends Message> {

  /** Size of the schema fingerprint at the start of every encoding, in bytes. */
  public static final int FINGERPRINT_BYTES = Long.BYTES;

  private final long fingerprint;
  private final MessageReader<T> reader;
  private final @Nullable SchemaEvolution evolution;

  private MessageCodec(
      long fingerprint, MessageReader<T> reader, @Nullable SchemaEvolution evolution) {
    this.fingerprint = fingerprint;
    this.reader = reader;
    this.evolution = evolution;
  }

  /** Returns a codec of the messages between coordination nodes. */
  public static MessageCodec<PeerMessage> peerMessages() {
    return of(0x5CF394A6AF069A45L, PeerMessage::readFrom);
  }

  /** Returns a codec of configuration changes in the table service. */
  public static MessageCodec<ConfigurationChange> configurationChanges() {
    return of(0x56907747370F7963L, ConfigurationChange::readFrom);
  }

  /** Returns a codec of configuration snapshots in the table service. */
  public static MessageCodec<ConfigurationSnapshot> configurationSnapshots() {
    return of(0x95258D1037DA97E1L, ConfigurationSnapshot::readFrom);
  }

  /** Returns a codec of claims of requests in the table service. */
  public static MessageCodec<ClaimRecord> claims() {
    return of(0x0538B6FEB55CE614L, ClaimRecord::readFrom);
  }

  /** Returns a codec of leases in the table service. */
  public static MessageCodec<LeaseRecord> leases() {
    return of(0xC284EF05DD9EB602L, LeaseRecord::readFrom);
  }

  /** Returns a codec of the addresses of nodes in the table service. */
  public static MessageCodec<NodeRecord> nodes() {
    return of(0xAFE9B37CEB77CDC8L, NodeRecord::readFrom);
  }

  /** Returns a codec of the target versions of weights in the table service. */
  public static MessageCodec<NamedWeightsRecord> targetVersions() {
    return of(0x57EF1CA75E9A5A1BL, NamedWeightsRecord::readFrom);
  }

  /**
   * Returns a codec of suspect requests, which ran at backends that crashed, in the table service.
   */
  public static MessageCodec<SuspectRecord> suspects() {
    return of(0x8EBE42B1758027B4L, SuspectRecord::readFrom);
  }

  /**
   * Returns a codec of prompt parts that are suspected of crashing backends, in the table service.
   */
  public static MessageCodec<PartSuspectRecord> suspectParts() {
    return of(0x2B039C662C4577BAL, PartSuspectRecord::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes. */
  public static MessageCodec<NodeDatagram> nodeDatagrams() {
    return of(0xBCC127BBA5988424L, NodeDatagram::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes that earlier versions can't read. */
  public static MessageCodec<NodeNotice> nodeNotices() {
    return of(0xA8D3FB67B66BFA9AL, NodeNotice::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about rate limits of backends. */
  public static MessageCodec<RateDatagram> rateDatagrams() {
    return of(0xF59EEF35DA66E803L, RateDatagram::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about requests to limited backends. */
  public static MessageCodec<RateUseDatagram> rateUseDatagrams() {
    return of(0xA5B7D4C6DC32E6D5L, RateUseDatagram::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about draining backends. */
  public static MessageCodec<DrainDatagram> drainDatagrams() {
    return of(0xB57AA0A0C9366968L, DrainDatagram::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about the origins of streams. */
  public static MessageCodec<OriginDatagram> originDatagrams() {
    return of(0x1A7B6D8CE2AC2657L, OriginDatagram::readFrom);
  }

  /** Returns a codec of the origins of streams in the table service. */
  public static MessageCodec<StreamOriginReport> streamOrigins() {
    return of(0xCA266D7569167D72L, StreamOriginReport::readFrom);
  }

  /** Returns a codec of the software versions of pools in the table service. */
  public static MessageCodec<SoftwareVersionRecord> softwareVersions() {
    return of(0x7D3BDF24A12A80F6L, SoftwareVersionRecord::readFrom);
  }

  /** Returns a codec of the claims to send a quarantined request as a trial. */
  public static MessageCodec<TrialClaimRecord> trialClaims() {
    return of(0xF94CB1130AD0B18AL, TrialClaimRecord::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about prompt parts. */
  public static MessageCodec<PartDatagram> partDatagrams() {
    return of(0x1C009BDCD3B61805L, PartDatagram::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about the capacity of engines. */
  public static MessageCodec<CapacityDatagram> capacityDatagrams() {
    return of(0xFAAE82047D7C5B60L, CapacityDatagram::readFrom);
  }

  /** Returns a codec of the datagrams between gateway nodes about waiting requests. */
  public static MessageCodec<TicketDatagram> ticketDatagrams() {
    return of(0x57F73DD2D4025D72L, TicketDatagram::readFrom);
  }

  /** Returns a codec of the levels of tenants' limits in the table service. */
  public static MessageCodec<TenantLevelsRecord> tenantLevels() {
    return of(0xC602C3C27F4B92B3L, TenantLevelsRecord::readFrom);
  }

  /** Returns a codec of requests for parts of tables. */
  public static MessageCodec<TableSliceRequest> tableSliceRequests() {
    return of(0x0C683A7793431464L, TableSliceRequest::readFrom);
  }

  /** Returns a codec of parts of tables. */
  public static MessageCodec<TableSlice> tableSlices() {
    return of(0x245A8AF11C5A66E6L, TableSlice::readFrom);
  }

  private static <T extends Message> MessageCodec<T> of(long fingerprint, MessageReader<T> reader) {
    return new MessageCodec<>(fingerprint, reader, null);
  }

  /**
   * Returns a codec that can read several versions of a schema.
   *
   * @param schema the current schema, which is used for writing
   * @param history all schemas that can be read
   * @param reader reads messages of the current schema
   */
  public static <T extends Message> MessageCodec<T> forSchema(
      Schema schema, SchemaHistory history, MessageReader<T> reader) {
    return new MessageCodec<>(
        SchemaNormalization.parsingFingerprint64(schema),
        reader,
        new SchemaEvolution(schema, history));
  }

  /** Returns the fingerprint of the schema that is used for writing. */
  long fingerprint() {
    return fingerprint;
  }

  /** Encodes a message. */
  public byte[] encode(T message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    try {
      writeFingerprint(bytes);
      message.writeTo(encoder);
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

  /** Returns whether a message was written with the current schema, by its fingerprint. */
  public boolean matchesSchema(byte[] bytes) {
    return bytes.length >= FINGERPRINT_BYTES && readFingerprint(bytes) == fingerprint;
  }

  /**
   * Decodes a message.
   *
   * @throws MessageFormatException if the message is damaged or its schema is unknown
   */
  public T decode(byte[] bytes) {
    if (bytes.length < FINGERPRINT_BYTES) {
      throw new MessageFormatException("the message is shorter than its schema fingerprint");
    }
    long writerFingerprint = readFingerprint(bytes);
    try {
      return reader.read(
          writerFingerprint == fingerprint
              ? payloadDecoder(bytes)
              : convertedDecoder(writerFingerprint, bytes));
    } catch (MessageFormatException unknown) {
      throw unknown;
    } catch (IOException | RuntimeException damaged) {
      throw new MessageFormatException("the message is damaged: " + damaged);
    }
  }

  private static BinaryDecoder payloadDecoder(byte[] bytes) {
    return DecoderFactory.get()
        .binaryDecoder(bytes, FINGERPRINT_BYTES, bytes.length - FINGERPRINT_BYTES, null);
  }

  private BinaryDecoder convertedDecoder(long writerFingerprint, byte[] bytes) throws IOException {
    if (evolution == null) {
      throw MessageFormatException.unknownSchema(writerFingerprint);
    }
    byte[] current = evolution.toCurrent(writerFingerprint, payloadDecoder(bytes));
    return DecoderFactory.get().binaryDecoder(current, null);
  }

  private static long readFingerprint(byte[] bytes) {
    long value = 0;
    for (int index = FINGERPRINT_BYTES - 1; index >= 0; index--) {
      value = value << Byte.SIZE | bytes[index] & 0xFF;
    }
    return value;
  }
}
