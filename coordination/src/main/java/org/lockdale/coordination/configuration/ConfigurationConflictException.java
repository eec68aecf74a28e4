package org.lockdale.coordination.configuration;

/** Thrown if another edit on the same base version was accepted first. */
public final class ConfigurationConflictException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long acceptedVersion;
  private final String acceptedAuthor;

  ConfigurationConflictException(long baseVersion, long acceptedVersion, String acceptedAuthor) {
    super(
        "The edit is based on version "
            + baseVersion
            + ", but version "
            + acceptedVersion
            + " by "
            + acceptedAuthor
            + " is newer; get the new version, check your edit against it and apply it again.",
        null,
        false,
        false);
    this.acceptedVersion = acceptedVersion;
    this.acceptedAuthor = acceptedAuthor;
  }

  /** Returns the version of the accepted edit. */
  public long acceptedVersion() {
    return acceptedVersion;
  }

  /** Returns the author of the accepted edit. */
  public String acceptedAuthor() {
    return acceptedAuthor;
  }
}
