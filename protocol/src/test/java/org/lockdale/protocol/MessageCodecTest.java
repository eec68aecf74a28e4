package org.lockdale.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.lockdale.protocol.generated.AttemptOutcome;
import org.lockdale.protocol.generated.AttemptVerdict;
import org.lockdale.protocol.generated.CapacityDatagram;
import org.lockdale.protocol.generated.ClaimRecord;
import org.lockdale.protocol.generated.ConfigurationChange;
import org.lockdale.protocol.generated.ConfigurationSnapshot;
import org.lockdale.protocol.generated.DrainDatagram;
import org.lockdale.protocol.generated.EngineLoad;
import org.lockdale.protocol.generated.EngineMoveRecord;
import org.lockdale.protocol.generated.ExpectedParts;
import org.lockdale.protocol.generated.LeaseRecord;
import org.lockdale.protocol.generated.LeavingNotice;
import org.lockdale.protocol.generated.LifeOverNotice;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.NamedWeightsRecord;
import org.lockdale.protocol.generated.NodeDatagram;
import org.lockdale.protocol.generated.NodeNotice;
import org.lockdale.protocol.generated.NodeRecord;
import org.lockdale.protocol.generated.NodeReport;
import org.lockdale.protocol.generated.OriginDatagram;
import org.lockdale.protocol.generated.PartCrashRecord;
import org.lockdale.protocol.generated.PartDatagram;
import org.lockdale.protocol.generated.PartSuspectRecord;
import org.lockdale.protocol.generated.PartSuspectReport;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.lockdale.protocol.generated.QueryPart;
import org.lockdale.protocol.generated.RateDatagram;
import org.lockdale.protocol.generated.RateUseDatagram;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.SoftwareVersionRecord;
import org.lockdale.protocol.generated.StreamOriginReport;
import org.lockdale.protocol.generated.SuspectEndRecord;
import org.lockdale.protocol.generated.SuspectRecord;
import org.lockdale.protocol.generated.SuspectReport;
import org.lockdale.protocol.generated.TableProofRecord;
import org.lockdale.protocol.generated.TableSlice;
import org.lockdale.protocol.generated.TableSliceRequest;
import org.lockdale.protocol.generated.TenantLevelsRecord;
import org.lockdale.protocol.generated.TicketDatagram;
import org.lockdale.protocol.generated.TrialClaimRecord;
import org.testng.annotations.Test;

/** Tests the encoding of messages, and the compatibility of nodes that are one version apart. */
public final class MessageCodecTest {

  private static final String NEW_FIELD =
      "{\"name\":\"operatorPort\",\"type\":\"int\",\"doc\":\"Port of the operators' HTTP interface.\","
          + "\"default\":0},";

  private static MemberUpdate update() {
    return new MemberUpdate(
        "node-1",
        7L,
        ByteBuffer.wrap(new byte[] {127, 0, 0, 1}),
        7_080,
        9_080,
        "pasig-a",
        MemberStatus.ALIVE);
  }

  private static MessageCodec<MemberUpdate> codec(Schema... readable) {
    return MessageCodec.forSchema(
        MemberUpdate.getClassSchema(), SchemaHistory.of(readable), MemberUpdate::readFrom);
  }

  /** A decoded message equals the encoded one. */
  @Test
  public void roundTrip() {
    MessageCodec<MemberUpdate> codec = codec(MemberUpdate.getClassSchema());
    assertEquals(codec.decode(codec.encode(update())), update());
  }

  /** A message of an earlier schema without a field is read with the default of the field. */
  @Test
  public void messagesOfTheVersionBeforeCanBeRead() throws IOException {
    String earlierJson = MemberUpdate.getClassSchema().toString().replace(NEW_FIELD, "");
    Schema old = new Schema.Parser().parse(earlierJson);
    assertEquals(old.getFields().size(), MemberUpdate.getClassSchema().getFields().size() - 1);
    GenericData.Record record = new GenericData.Record(old);
    record.put("id", "node-1");
    record.put("incarnation", 7L);
    record.put("address", ByteBuffer.wrap(new byte[] {127, 0, 0, 1}));
    record.put("peerPort", 7_080);
    record.put("zone", "pasig-a");
    record.put("status", new GenericData.EnumSymbol(old.getField("status").schema(), "ALIVE"));
    MemberUpdate expected = update();
    expected.setOperatorPort(0);
    MessageCodec<MemberUpdate> codec = codec(old, MemberUpdate.getClassSchema());
    assertEquals(codec.decode(encode(old, record)), expected);
  }

  private static byte[] encode(Schema schema, GenericData.Record record) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(
        ByteBuffer.allocate(MessageCodec.FINGERPRINT_BYTES)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putLong(SchemaNormalization.parsingFingerprint64(schema))
            .array());
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
    new GenericDatumWriter<GenericData.Record>(schema).write(record, encoder);
    return bytes.toByteArray();
  }

  /** The fingerprint constants match the schemas. */
  @Test
  public void fingerprintsAreThoseOfTheSchemas() {
    Map<MessageCodec<?>, Schema> schemas =
        Map.ofEntries(
            Map.entry(MessageCodec.peerMessages(), PeerMessage.getClassSchema()),
            Map.entry(MessageCodec.configurationChanges(), ConfigurationChange.getClassSchema()),
            Map.entry(
                MessageCodec.configurationSnapshots(), ConfigurationSnapshot.getClassSchema()),
            Map.entry(MessageCodec.claims(), ClaimRecord.getClassSchema()),
            Map.entry(MessageCodec.leases(), LeaseRecord.getClassSchema()),
            Map.entry(MessageCodec.nodes(), NodeRecord.getClassSchema()),
            Map.entry(MessageCodec.targetVersions(), NamedWeightsRecord.getClassSchema()),
            Map.entry(MessageCodec.nodeDatagrams(), NodeDatagram.getClassSchema()),
            Map.entry(MessageCodec.nodeNotices(), NodeNotice.getClassSchema()),
            Map.entry(MessageCodec.rateDatagrams(), RateDatagram.getClassSchema()),
            Map.entry(MessageCodec.rateUseDatagrams(), RateUseDatagram.getClassSchema()),
            Map.entry(MessageCodec.drainDatagrams(), DrainDatagram.getClassSchema()),
            Map.entry(MessageCodec.originDatagrams(), OriginDatagram.getClassSchema()),
            Map.entry(MessageCodec.capacityDatagrams(), CapacityDatagram.getClassSchema()),
            Map.entry(MessageCodec.ticketDatagrams(), TicketDatagram.getClassSchema()),
            Map.entry(MessageCodec.tenantLevels(), TenantLevelsRecord.getClassSchema()),
            Map.entry(MessageCodec.suspects(), SuspectRecord.getClassSchema()),
            Map.entry(MessageCodec.streamOrigins(), StreamOriginReport.getClassSchema()),
            Map.entry(MessageCodec.softwareVersions(), SoftwareVersionRecord.getClassSchema()),
            Map.entry(MessageCodec.trialClaims(), TrialClaimRecord.getClassSchema()),
            Map.entry(MessageCodec.suspectParts(), PartSuspectRecord.getClassSchema()),
            Map.entry(MessageCodec.partDatagrams(), PartDatagram.getClassSchema()),
            Map.entry(MessageCodec.tableSliceRequests(), TableSliceRequest.getClassSchema()),
            Map.entry(MessageCodec.tableSlices(), TableSlice.getClassSchema()));
    Map<String, String> wrong = new TreeMap<>();
    schemas.forEach(
        (codec, schema) -> {
          long expected = SchemaNormalization.parsingFingerprint64(schema);
          if (codec.fingerprint() != expected) {
            wrong.put(schema.getName(), Long.toHexString(expected));
          }
        });
    assertEquals(wrong.toString(), "{}");
  }

  /**
   * Nodes of an earlier version reject notices during a rolling update, and continue to read all
   * other datagrams. A notice is distinguished from these by its fingerprint.
   */
  @Test
  public void aNoticeIsDistinguishedFromEarlierDatagrams() {
    byte[] notice =
        MessageCodec.nodeNotices()
            .encode(new NodeNotice("node", new LifeOverNotice(List.of("i-1@2"))));
    byte[] datagram =
        MessageCodec.nodeDatagrams().encode(new NodeDatagram("node", new SuspectReport(List.of())));
    assertTrue(MessageCodec.nodeNotices().matchesSchema(notice));
    assertFalse(MessageCodec.nodeNotices().matchesSchema(datagram));
    assertFalse(MessageCodec.nodeNotices().matchesSchema(new byte[3]));
    assertThrows(MessageFormatException.class, () -> MessageCodec.nodeDatagrams().decode(notice));
    assertEquals(
        ((LifeOverNotice) MessageCodec.nodeNotices().decode(notice).getBody()).getEngines(),
        List.of("i-1@2"));
  }

  /**
   * Drain datagrams have an envelope schema of their own, as earlier versions that identify notices
   * by their envelope could not read a new kind of notice.
   */
  @Test
  public void aDrainDatagramIsDistinguishedFromEarlierDatagrams() {
    byte[] drain =
        MessageCodec.drainDatagrams()
            .encode(new DrainDatagram("node", new LeavingNotice(List.of("i-1@2"))));
    assertTrue(MessageCodec.drainDatagrams().matchesSchema(drain));
    assertFalse(MessageCodec.nodeNotices().matchesSchema(drain));
    assertThrows(MessageFormatException.class, () -> MessageCodec.nodeDatagrams().decode(drain));
    assertEquals(
        ((LeavingNotice) MessageCodec.drainDatagrams().decode(drain).getBody()).getEngines(),
        List.of("i-1@2"));
  }

  /** Nodes of an earlier version drop datagrams about prompt parts, and read all others. */
  @Test
  public void aPartDatagramIsDistinguishedFromEarlierDatagrams() {
    PartSuspectRecord part =
        new PartSuspectRecord(
            "model", "5c1e07a2", 1, List.of(new PartCrashRecord("i-1@2", -3, 4, true)), 1, 2);
    byte[] datagram =
        MessageCodec.partDatagrams()
            .encode(new PartDatagram("node", new PartSuspectReport(List.of(part))));
    assertTrue(MessageCodec.partDatagrams().matchesSchema(datagram));
    assertThrows(MessageFormatException.class, () -> MessageCodec.nodeDatagrams().decode(datagram));
    assertEquals(
        ((PartSuspectReport) MessageCodec.partDatagrams().decode(datagram).getBody()).getParts(),
        List.of(part));
  }

  private static Stream<Message> datagramBodies() {
    return Stream.of(
        new RelayHeartbeat(1L, true, 2L, 3L, 0.5, List.of(new TableProofRecord("table", 4L, 5L))),
        new NodeReport(
            6L,
            List.of(new EngineLoad("engine", 7L, 8L, 9), new EngineLoad("other", 0L, 0L, 0)),
            List.of(new ExpectedParts("engine", List.of(10L, -11L))),
            List.of(new AttemptOutcome("engine", AttemptVerdict.REJECTED)),
            List.of(new EngineMoveRecord("engine", "model", 12L, true))),
        new PlacementQuestion(
            13L,
            "pool",
            "zone",
            null,
            "tenant",
            List.of(new QueryPart("part", 14), new QueryPart("own", 15)),
            List.of("excluded")),
        new SuspectReport(
            List.of(
                new SuspectRecord(
                    16L, -17L, 18, List.of(new SuspectEndRecord("engine", true, false))))));
  }

  /**
   * Messages are written exactly as Avro writes them for the schema, and Avro's encoding is read.
   */
  @Test
  public void theEncodingIsAvros() throws IOException {
    MessageCodec<NodeDatagram> codec = MessageCodec.nodeDatagrams();
    Schema schema = NodeDatagram.getClassSchema();
    for (Message body : datagramBodies().toList()) {
      NodeDatagram message = new NodeDatagram("node", body);
      byte[] encoded = codec.encode(message);
      GenericData.Record read =
          new GenericDatumReader<GenericData.Record>(schema)
              .read(
                  null,
                  DecoderFactory.get()
                      .binaryDecoder(
                          Arrays.copyOfRange(
                              encoded, MessageCodec.FINGERPRINT_BYTES, encoded.length),
                          null));
      assertEquals(encode(schema, read), encoded);
      assertEquals(codec.decode(encode(schema, read)), message);
    }
  }

  /** Truncated messages and messages with an unknown fingerprint are rejected. */
  @Test
  public void otherBytesAreRefused() {
    MessageCodec<MemberUpdate> codec = codec(MemberUpdate.getClassSchema());
    byte[] complete = codec.encode(update());
    for (int length = 0; length < complete.length; length++) {
      byte[] truncated = Arrays.copyOf(complete, length);
      expectThrows(MessageFormatException.class, () -> codec.decode(truncated));
    }
    byte[] unknownSchema = complete.clone();
    unknownSchema[0]++;
    expectThrows(MessageFormatException.class, () -> codec.decode(unknownSchema));
  }
}
