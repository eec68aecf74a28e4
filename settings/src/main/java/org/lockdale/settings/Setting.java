package org.lockdale.settings;

import java.util.function.Function;

/**
 * The one declaration of a setting.
 *
 * @param <T> type of the value
 * @param key name in files and flags
 * @param type type in words
 * @param defaultText default as it would be written, or an empty string where one must be given
 * @param range allowed values in words
 * @param description what it does
 * @param secret whether the value must not be printed
 * @param parser turns the text into a value; throws {@link IllegalArgumentException} with the
 *     reason
 */
public record Setting<T>(
    String key,
    String type,
    String defaultText,
    String range,
    String description,
    boolean secret,
    Function<String, T> parser) {

  /** Settings are declared once, so two are equal only if they are the same. */
  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  /** Written out, since a record's own is linked anew in every process that calls it. */
  @Override
  public int hashCode() {
    return key.hashCode();
  }

  /** Returns whether a value must be given. */
  public boolean isRequired() {
    return defaultText.isEmpty();
  }
}
