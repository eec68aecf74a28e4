package org.lockdale.gateway.quarantine;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.Optional;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.TextDigest;

/**
 * Identifies requests with the same contents: method, host, path with query, caller and body. Ids,
 * deadlines and resume points, which differ between attempts, are not part of it. The caller is
 * part of it, so that no caller can have a request of another one quarantined.
 *
 * <p>It is the first half of a {@link TextDigest}. It is computed for few requests only: those that
 * {@link #sketchOf} doesn't distinguish from a suspect.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record RequestFingerprint(long high, long low) {

  private static final int PRIME = 31;
  private static final int DIGITS = 32;

  /**
   * Computes the fingerprint of a request.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public static RequestFingerprint of(CallerRequest request, String caller) {
    ByteBuffer hash =
        TextDigest.of(request.body(), request.method(), request.host(), request.uri(), caller);
    return new RequestFingerprint(hash.getLong(), hash.getLong());
  }

  /**
   * Loads the digest implementation, so that a training run includes it in the class data archive.
   * Without an archive its first use, at the first crash of a backend, takes 39 ms of processor
   * time, even with a core to itself.
   */
  public static void prepare() {
    TextDigest.of(new byte[0]);
  }

  /**
   * Computes a cheap hash that distinguishes most requests without reading the body. Equal requests
   * have equal sketches; different ones may share one.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  public static int sketchOf(CallerRequest request, String caller) {
    int sketch = request.uri().hashCode();
    sketch = PRIME * sketch + caller.hashCode();
    return PRIME * sketch + request.body().length;
  }

  /** Parses the text form that {@link #toString} returns; empty if the text is anything else. */
  static Optional<RequestFingerprint> parse(String text) {
    if (text.length() != DIGITS || !text.chars().allMatch(HexFormat::isHexDigit)) {
      return Optional.empty();
    }
    return Optional.of(
        new RequestFingerprint(
            HexFormat.fromHexDigitsToLong(text, 0, DIGITS / 2),
            HexFormat.fromHexDigitsToLong(text, DIGITS / 2, DIGITS)));
  }

  /** Returns 32 hexadecimal digits. */
  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
  }

  /**
   * Written explicitly, because the generated method of a record is linked at run time, in each
   * process that calls it.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof RequestFingerprint that && high == that.high && low == that.low;
  }

  @Override
  public int hashCode() {
    return (int) high;
  }
}
