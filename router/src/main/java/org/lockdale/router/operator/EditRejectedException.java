package org.lockdale.router.operator;

import java.util.List;

/** Thrown for an edit that was rejected before it was proposed to the configuration history. */
public final class EditRejectedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;
  private final String code;

  private EditRejectedException(int status, String code, String message) {
    super(message, null, false, false);
    this.status = status;
    this.code = code;
  }

  static EditRejectedException invalid(List<String> problems) {
    return new EditRejectedException(
        422, "invalid_configuration", String.join("; ", problems) + ". Correct the documents.");
  }

  static EditRejectedException nodeBehind(long baseVersion, long currentVersion) {
    return new EditRejectedException(
        503,
        "node_behind",
        "The edit is based on version "
            + baseVersion
            + ", but this node is at version "
            + currentVersion
            + "; retry in a second or at another node.");
  }

  static EditRejectedException conflict(String message) {
    return new EditRejectedException(409, "version_conflict", message);
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the machine-readable error code. */
  public String code() {
    return code;
  }
}
