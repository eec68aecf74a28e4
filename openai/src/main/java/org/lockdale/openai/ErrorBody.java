package org.lockdale.openai;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;

/**
 * The usual error envelope, with the outcome added.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * One error.
   *
   * @param message what is wrong and how to mend it
   * @param type group of errors, as in OpenAI's interface
   * @param parameter field at fault, or an empty string
   * @param code kind of error, for programs
   * @param outcome whether the request ran
   * @param retryAfterSeconds when to come back, or 0 where coming back does not help
   */
  @JsonInclude(JsonInclude.Include.NON_DEFAULT)
  public record Detail(
      String message,
      String type,
      @JsonProperty("param") String parameter,
      String code,
      String outcome,
      @JsonProperty("retry_after_seconds") int retryAfterSeconds) {}

  /** Returns the envelope as JSON. */
  public byte[] toJson() {
    try {
      return MAPPER.writeValueAsBytes(this);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
