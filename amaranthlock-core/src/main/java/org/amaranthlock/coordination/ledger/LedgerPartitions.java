package org.amaranthlock.coordination.ledger;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.RequestId;

/**
 * Maps ledger keys and request ids to partitions.
 *
 * <p>The number of partitions does not depend on the size of the deployment, so a key never moves to another partition.
 * A request id starts with the two hexadecimal digits of its partition, so an outcome can be found by the id alone.
 */
public final class LedgerPartitions {
    /** Number of partitions. */
    public static final int COUNT = 64;

    private LedgerPartitions() {}

    /** Returns the partition of a ledger key. */
    public static int ofKey(String ledgerKey) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(ledgerKey, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, COUNT);
    }

    /** Returns the partition that a request id contains. */
    public static int ofRequest(RequestId request) {
        String text = request.value();
        Arguments.require(text.length() > 3 && text.charAt(2) == '-', "not a valid request id: " + text);
        int partition = Integer.parseInt(text.substring(0, 2), 16);
        Arguments.require(partition < COUNT, "not a valid request id: " + text);
        return partition;
    }

    /** Creates a request id in a partition; {@code unique} must be unique across all hosts. */
    public static RequestId requestId(int partition, String unique) {
        return new RequestId(String.format("%02x-%s", partition, unique));
    }
}
