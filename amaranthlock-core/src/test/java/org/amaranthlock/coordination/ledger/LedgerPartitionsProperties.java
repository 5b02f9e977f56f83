package org.amaranthlock.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.amaranthlock.model.RequestId;

class LedgerPartitionsProperties {
    /** Guards against outcome records that cannot be found by the request id alone. */
    @Property(seed = "1")
    void requestIdContainsThePartitionOfItsLedgerKey(
            @ForAll @AlphaChars @StringLength(min = 1, max = 40) String ledgerKey) {
        int partition = LedgerPartitions.ofKey(ledgerKey);

        RequestId request = LedgerPartitions.requestId(partition, "host-1");

        assertThat(partition).isAtLeast(0);
        assertThat(partition).isLessThan(LedgerPartitions.COUNT);
        assertThat(LedgerPartitions.ofRequest(request)).isEqualTo(partition);
    }
}
