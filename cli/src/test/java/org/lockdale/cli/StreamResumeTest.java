package org.lockdale.cli;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.engine.ResponseText;
import org.lockdale.emulator.history.HistoryEvent;
import org.testng.annotations.Test;

/**
 * Checks a stream whose connection to the engine breaks twice while the engine keeps running it.
 */
public final class StreamResumeTest {

  private static final int TOKENS = 120;
  private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");

  /** The caller gets the complete stream in order, and the request runs once. */
  @Test
  public void streamResumesAfterBrokenConnection() throws IOException, InterruptedException {
    Deployment deployment =
        Deployment.find("gift-cards")
            .withEngines(List.of("pasig-a"), List.of(1), UnaryOperator.identity());
    try (LocalCluster cluster = LocalCluster.start(deployment, 1);
        RawHttp http = new RawHttp(cluster.callerAddresses().get(0))) {
      EngineServer engine = cluster.engines().get(0);
      String body =
          "{\"model\":\"gift-llm\",\"stream\":true,\"max_tokens\":"
              + TOKENS
              + ",\"messages\":[{\"role\":\"user\",\"content\":\"go on\"}]}";
      http.post(
          "/v1/chat/completions",
          "authorization: Bearer key-sm-malls\r\ncontent-type: application/json\r\n",
          body);
      String first = http.readUntil("id: 10\n");
      engine.dropConnections();
      String second = http.readUntil("id: 40\n");
      engine.dropConnections();
      String stream = first + second + http.readUntil("data: [DONE]\n\n");
      assertEquals(textOf(stream), expected());
      long runs =
          cluster.history().events().stream()
              .filter(event -> event instanceof HistoryEvent.Run)
              .count();
      assertEquals(runs, 1);
    }
  }

  private static String textOf(String stream) {
    StringBuilder text = new StringBuilder();
    Matcher matcher = CONTENT.matcher(stream);
    while (matcher.find()) {
      text.append(matcher.group(1));
    }
    return text.toString();
  }

  private static String expected() {
    byte[] prompt = new PromptText().message("user", "go on").toBytes();
    return ResponseText.completeText(ResponseText.digest(prompt), TOKENS);
  }
}
