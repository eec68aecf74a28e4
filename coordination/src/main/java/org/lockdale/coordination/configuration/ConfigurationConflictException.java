package org.lockdale.coordination.configuration;

/** Another edit was accepted first. */
public final class ConfigurationConflictException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long acceptedVersion;
  private final String acceptedAuthor;

  ConfigurationConflictException(long baseVersion, long acceptedVersion, String acceptedAuthor) {
    super(
        "The edit was made on version "
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

  /** Returns the version that was accepted in its place. */
  public long acceptedVersion() {
    return acceptedVersion;
  }

  /** Returns who made the accepted edit. */
  public String acceptedAuthor() {
    return acceptedAuthor;
  }
}
