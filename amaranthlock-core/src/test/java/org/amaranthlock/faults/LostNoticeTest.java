package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthlock.faults.FaultProperties.FaultInjection;
import org.amaranthlock.faults.FaultProperties.NetworkFaults;
import org.junit.jupiter.api.Test;

/** Guards against requests without a record when the message that tells their keeper is lost. */
class LostNoticeTest {
    /** The open notice is lost on its way, and the router dies after it has delivered the first token. */
    @Test
    void aRequestWhoseOpenNoticeWasLostHasARecord() {
        List<FaultInjection> strikes = List.of(
                new FaultInjection(Fault.ENGINE_KILLED, 0, 0, 0), new FaultInjection(Fault.ROUTER_KILLED, 0, 0, 82));

        assertThat(FaultProperties.problems(strikes, new NetworkFaults(2, 0, 0, 0), -180))
                .isEmpty();
    }
}
