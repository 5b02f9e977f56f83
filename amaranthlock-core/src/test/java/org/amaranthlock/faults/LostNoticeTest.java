package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthlock.faults.FaultProperties.Network;
import org.amaranthlock.faults.FaultProperties.Strike;
import org.junit.jupiter.api.Test;

/** Guards against requests without a record when the message that tells their keeper is lost. */
class LostNoticeTest {
    /** The open notice is lost on its way, and the router dies after it has delivered the first token. */
    @Test
    void aRequestWhoseOpenNoticeWasLostHasARecord() {
        List<Strike> strikes =
                List.of(new Strike(Fault.ENGINE_KILLED, 0, 0, 0), new Strike(Fault.ROUTER_KILLED, 0, 0, 82));

        assertThat(FaultProperties.problems(strikes, new Network(2, 0, 0, 0), -180))
                .isEmpty();
    }
}
