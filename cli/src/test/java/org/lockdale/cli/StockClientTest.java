package org.lockdale.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.NotFoundException;
import com.openai.errors.UnauthorizedException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import java.util.List;
import java.util.function.UnaryOperator;
import org.lockdale.coordination.placement.PromptText;
import org.lockdale.emulator.engine.ResponseText;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks that the official OpenAI client works when only its base URL is changed. */
public final class StockClientTest {

  private static final int TOKENS = 5;

  private LocalCluster cluster;

  /** Starts one node with two engines. */
  @BeforeClass
  public void start() throws InterruptedException {
    cluster =
        LocalCluster.start(
            Deployment.find("gift-cards")
                .withEngines(List.of("pasig-a"), List.of(2), UnaryOperator.identity()),
            1);
  }

  /** Stops it. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    cluster.close();
  }

  private OpenAIClient client(String apiKey) {
    return OpenAIOkHttpClient.builder()
        .apiKey(apiKey)
        .baseUrl("http://" + Addresses.format(cluster.callerAddresses().get(0)) + "/v1")
        .maxRetries(0)
        .build();
  }

  private static ChatCompletionCreateParams chatRequest(String model, String prompt) {
    return ChatCompletionCreateParams.builder()
        .model(model)
        .addUserMessage(prompt)
        .maxCompletionTokens(TOKENS)
        .build();
  }

  private static String expected(String prompt) {
    byte[] text = new PromptText().message("user", prompt).toBytes();
    return ResponseText.completeText(ResponseText.digest(text), TOKENS);
  }

  /** A completion without streaming returns the complete text and its token count. */
  @Test
  public void completeResponse() {
    OpenAIClient client = client("key-sm-malls");
    ChatCompletion completion =
        client.chat().completions().create(chatRequest("gift-llm", "what is left on card 9"));
    assertEquals(
        completion.choices().get(0).message().content().orElseThrow(),
        expected("what is left on card 9"));
    assertEquals(completion.usage().orElseThrow().completionTokens(), TOKENS);
  }

  /** The chunks of a streamed completion add up to the complete text. */
  @Test
  public void stream() {
    OpenAIClient client = client("key-sm-malls");
    StringBuilder text = new StringBuilder();
    try (StreamResponse<ChatCompletionChunk> chunks =
        client.chat().completions().createStreaming(chatRequest("gift-llm", "stream it"))) {
      chunks.stream()
          .flatMap(chunk -> chunk.choices().stream())
          .forEach(choice -> choice.delta().content().ifPresent(text::append));
    }
    assertEquals(text.toString(), expected("stream it"));
  }

  /** Models are listed, and errors are mapped to the client's exception types. */
  @Test
  public void modelsAndErrors() {
    OpenAIClient client = client("key-sm-malls");
    assertTrue(
        client.models().list().data().stream().anyMatch(model -> model.id().equals("gift-llm")));
    expectThrows(
        NotFoundException.class,
        () -> client.chat().completions().create(chatRequest("none", "hello")));
    expectThrows(
        UnauthorizedException.class,
        () -> client("wrong").chat().completions().create(chatRequest("gift-llm", "hello")));
  }
}
