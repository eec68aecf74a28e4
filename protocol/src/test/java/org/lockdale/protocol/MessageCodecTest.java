package org.lockdale.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;
import org.testng.annotations.Test;

/** Messages survive the way, and nodes one version apart understand each other. */
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

  private static MessageCodec<MemberUpdate> codec(Schema... understood) {
    return MessageCodec.forSchema(MemberUpdate.getClassSchema(), SchemaHistory.of(understood));
  }

  /** What is encoded is decoded. */
  @Test
  public void roundTrip() {
    MessageCodec<MemberUpdate> codec = codec(MemberUpdate.getClassSchema());
    assertEquals(codec.decode(codec.encode(update())), update());
  }

  /** A message of a version that did not know a field is read with the field's default. */
  @Test
  public void theVersionBeforeIsUnderstood() throws IOException {
    String before = MemberUpdate.getClassSchema().toString().replace(NEW_FIELD, "");
    Schema old = new Schema.Parser().parse(before);
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

  /** Bytes of an unknown schema, cut ones and noise are refused by type. */
  @Test
  public void otherBytesAreRefused() {
    MessageCodec<MemberUpdate> codec = codec(MemberUpdate.getClassSchema());
    byte[] good = codec.encode(update());
    for (int length = 0; length < good.length; length++) {
      byte[] cut = Arrays.copyOf(good, length);
      expectThrows(MessageFormatException.class, () -> codec.decode(cut));
    }
    byte[] noise = good.clone();
    noise[0]++;
    expectThrows(MessageFormatException.class, () -> codec.decode(noise));
  }
}
