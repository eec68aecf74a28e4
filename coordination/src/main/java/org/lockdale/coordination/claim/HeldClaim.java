package org.lockdale.coordination.claim;

import org.lockdale.protocol.generated.ClaimRecord;

/**
 * A claim that an attempt holds.
 *
 * @param key row key
 * @param record contents of the row
 * @param rowVersion version of the row; serves as fencing token, as writes that expect another
 *     version are rejected
 */
public record HeldClaim(String key, ClaimRecord record, long rowVersion) {}
