package org.amaranthlock.coordination.ledger;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.RequestId;

/**
 * Maps ledger keys and request ids to partitions.
 *
 * <p>The number of partitions is the same at every size, so that no key ever moves. A request id starts with the two
 * hexadecimal digits of its partition; so an outcome is found by the request id alone.
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

    /** Returns the partition that a request id names. */
    public static int ofRequest(RequestId request) {
        String text = request.value();
        Arguments.require(text.length() > 3 && text.charAt(2) == '-', "not a request id: " + text);
        int partition = Integer.parseInt(text.substring(0, 2), 16);
        Arguments.require(partition < COUNT, "not a request id: " + text);
        return partition;
    }

    /** Returns a request id in a partition; {@code unique} must be unique over all hosts. */
    public static RequestId requestId(int partition, String unique) {
        return new RequestId(String.format("%02x-%s", partition, unique));
    }
}
