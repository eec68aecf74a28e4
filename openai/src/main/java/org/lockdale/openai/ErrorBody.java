package org.lockdale.openai;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;

/**
 * The error envelope of the OpenAI API, extended by the outcome of the request.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * One error.
   *
   * @param message what is wrong and how to correct it
   * @param type category of the error, as in the OpenAI API
   * @param parameter request field that caused the error, or an empty string
   * @param code machine-readable error code
   * @param outcome wire name of the {@link Outcome}: whether the request ran
   * @param retryAfterSeconds seconds after which to retry, or 0 if a retry does not help
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
