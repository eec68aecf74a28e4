package org.lockdale.soak.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.lockdale.soak.standin.LateReply.Moment;
import org.lockdale.soak.standin.LateReply.Place;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks where second replies are written, over a real connection. */
public final class ReplyChannelTest {

  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private Socket server;
  private Socket peer;
  private ReplyChannel replies;

  @BeforeMethod
  public void connect() throws IOException {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      peer = new Socket(listener.getInetAddress(), listener.getLocalPort());
      server = listener.accept();
    }
    peer.setSoTimeout(READ_TIMEOUT_MILLIS);
    replies = new ReplyChannel(server);
  }

  @AfterMethod
  public void disconnect() throws IOException {
    server.close();
    peer.close();
  }

  @Test
  public void aSecondReplyMayFollowInTheSameWrite() throws IOException {
    replies.write("first,", second(Place.BEHIND_FIRST, 0));
    replies.write("next", null);
    assertRead("first,second,next");
  }

  @Test
  public void aSecondReplyMayComeInFrontOfTheNextReply() throws IOException {
    replies.write("first,", second(Place.BEFORE_NEXT, 0));
    replies.write("next", null);
    assertRead("first,second,next");
  }

  @Test
  public void aLateSecondReplyComesByItself() throws IOException {
    replies.write("first,", second(Place.LATER, 1));
    assertRead("first,second,");
  }

  @Test
  public void aLateSecondReplyDoesNotFallWithinAStream() throws IOException {
    replies.write("first,", second(Place.LATER, 1));
    replies.beginStream("head,");
    replies.endStream("end,", second(Place.BEHIND_FIRST, 0));
    byte[] read = peer.getInputStream().readNBytes("first,second,head,end,second,".length());
    String text = new String(read, StandardCharsets.UTF_8);
    assertEquals(text.replace("second,", ""), "first,head,end,");
    assertEquals(text.indexOf("head,end,") >= 0, true, text);
  }

  @Test
  public void onlyAReplyWithASecondOneIsRepeated() throws IOException {
    replies.write("first,", null);
    assertFalse(replies.hasRepeatedReply());
    replies.write("next,", second(Place.BEFORE_NEXT, 0));
    assertTrue(replies.hasRepeatedReply());
  }

  private void assertRead(String expected) throws IOException {
    InputStream input = peer.getInputStream();
    byte[] read = input.readNBytes(expected.length());
    assertEquals(new String(read, StandardCharsets.UTF_8), expected);
  }

  private static LateReply second(Place place, long delayMillis) {
    return new LateReply("second,", "server", "r", 500, new Moment(place, delayMillis));
  }
}
