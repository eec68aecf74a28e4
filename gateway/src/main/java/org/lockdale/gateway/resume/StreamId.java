package org.lockdale.gateway.resume;

import java.nio.ByteBuffer;
import org.lockdale.gateway.caller.TextDigest;

/**
 * Identifies a stream by its caller and the caller's id of the attempt that brought its first
 * event. The caller is part of it, so that no caller learns anything of another one's streams.
 *
 * @param high first 64 bits of a digest
 * @param low next 64 bits
 */
public record StreamId(long high, long low) {

  private static final byte[] NO_BYTES = {};

  /**
   * Returns the id of a stream.
   *
   * @param caller name of the tenant, or the key where there is none
   * @param requestId the caller's id of the attempt that brought the first event
   */
  public static StreamId of(String caller, String requestId) {
    ByteBuffer digest = TextDigest.of(NO_BYTES, caller, requestId);
    return new StreamId(digest.getLong(), digest.getLong());
  }

  /**
   * Written explicitly, because the generated method of a record is linked at run time, in each
   * process that calls it.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof StreamId that && high == that.high && low == that.low;
  }

  @Override
  public int hashCode() {
    return (int) high;
  }
}
