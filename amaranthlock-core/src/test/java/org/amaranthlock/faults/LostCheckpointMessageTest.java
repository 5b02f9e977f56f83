package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthlock.faults.FaultProperties.FaultInjection;
import org.amaranthlock.faults.FaultProperties.NetworkFaults;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that never get a record because the first checkpoint message to their backup router is lost.
 */
class LostCheckpointMessageTest {
    /** The message is lost in the network, and the router dies after it has delivered the first token. */
    @Test
    void requestIsRecordedWhenItsFirstCheckpointMessageIsLost() {
        List<FaultInjection> injections = List.of(
                new FaultInjection(ClusterFault.TARGET_KILLED, 0, 0, 0),
                new FaultInjection(ClusterFault.ROUTER_KILLED, 0, 0, 82));

        assertThat(FaultProperties.findViolations(injections, new NetworkFaults(2, 0, 0, 0), -180))
                .isEmpty();
    }
}
