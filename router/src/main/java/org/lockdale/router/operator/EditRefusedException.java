package org.lockdale.router.operator;

import java.util.List;

/** An edit that was not offered to the history. */
public final class EditRefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;
  private final String code;

  private EditRefusedException(int status, String code, String message) {
    super(message, null, false, false);
    this.status = status;
    this.code = code;
  }

  static EditRefusedException invalid(List<String> problems) {
    return new EditRefusedException(
        422, "invalid_configuration", String.join("; ", problems) + ". Correct the documents.");
  }

  static EditRefusedException behind(long baseVersion, long ownVersion) {
    return new EditRefusedException(
        503,
        "node_behind",
        "The edit was made on version "
            + baseVersion
            + ", but this node is at "
            + ownVersion
            + "; send it again in a second or to another node.");
  }

  static EditRefusedException conflict(String message) {
    return new EditRefusedException(409, "version_conflict", message);
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the code for programs. */
  public String code() {
    return code;
  }
}
