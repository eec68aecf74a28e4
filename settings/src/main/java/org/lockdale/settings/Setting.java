package org.lockdale.settings;

import java.util.function.Function;

/**
 * The declaration of a setting.
 *
 * @param <T> type of the value
 * @param key name in files and flags
 * @param type description of the type
 * @param defaultText default value as text, or an empty string if a value is required
 * @param range description of the allowed values
 * @param description description of the effect
 * @param secret whether the value must not be printed
 * @param parser converts the text to a value; throws an {@link IllegalArgumentException} whose
 *     message is the reason if the text is invalid
 */
public record Setting<T>(
    String key,
    String type,
    String defaultText,
    String range,
    String description,
    boolean secret,
    Function<String, T> parser) {

  /** Compares by identity, as each setting is declared only once. */
  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  /**
   * Returns the hash code of the key. Implemented explicitly, since the method that is generated
   * for records is linked at run time in every process that calls it.
   */
  @Override
  public int hashCode() {
    return key.hashCode();
  }

  /** Returns whether the setting has no default, so that a value is required. */
  public boolean isRequired() {
    return defaultText.isEmpty();
  }
}
