package org.lockdale.coordination.claim;

import org.lockdale.protocol.generated.ClaimRecord;

/**
 * A claim that an attempt holds.
 *
 * @param key row key
 * @param record contents of the row
 * @param rowVersion version of the row; a later writer with another version is refused, which makes
 *     it the fencing token
 */
public record HeldClaim(String key, ClaimRecord record, long rowVersion) {}
