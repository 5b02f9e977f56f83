package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.Stream;
import org.amaranthlock.faults.FaultProperties.FaultInjection;
import org.amaranthlock.faults.FaultProperties.NetworkFaults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against the return of faults that were found by running the fault matrix and fault sequences with more seeds.
 */
class FaultRegressionTest {
    static Stream<Arguments> cells() {
        return Stream.of(
                // A former partition owner, isolated from its successor, reported a record as missing that the
                // successor had written.
                Arguments.of(
                        1,
                        RequestKind.FENCED_ORDER,
                        RequestStep.RESPONDED_RECORD_PENDING,
                        ClusterFault.ROUTER_OUTBOUND_PARTITION),
                Arguments.of(4, RequestKind.PLAIN_ORDER, RequestStep.CLAIM_GRANTED, ClusterFault.ROUTER_FULL_PARTITION),
                // A router that owned the ledger partition of its own request died, and the record was lost with it.
                Arguments.of(
                        3,
                        RequestKind.LONG_GENERATION,
                        RequestStep.RESPONDED_RECORD_PENDING,
                        ClusterFault.ROUTER_KILLED),
                Arguments.of(
                        3, RequestKind.FENCED_ORDER, RequestStep.RESPONDED_RECORD_PENDING, ClusterFault.ROUTER_KILLED));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void matrixCellStaysFixed(int seed, RequestKind kind, RequestStep step, ClusterFault fault) {
        FaultMatrixCell cell = new FaultMatrixCell(kind, step, fault);
        List<String> violations = new FaultMatrixCellRun(cell, seed).run();
        assertWithMessage(cell + " with seed " + seed).that(violations).isEmpty();
    }

    static Stream<Arguments> sequences() {
        return Stream.of(
                // After a pause, a router restarted a request whose client had moved to another router; the client got
                // the rest of its response from the second generation.
                Arguments.of(
                        -27_885,
                        List.of(
                                new FaultInjection(ClusterFault.TARGET_KILLED, 0, 0, 0),
                                new FaultInjection(ClusterFault.ROUTER_PAUSED, 1, 0, 1_335)),
                        new NetworkFaults(0, 0, 0, 300)));
    }

    @ParameterizedTest
    @MethodSource("sequences")
    void sequenceStaysFixed(int seed, List<FaultInjection> injections, NetworkFaults network) {
        List<String> violations = FaultProperties.findViolations(injections, network, seed);
        assertWithMessage(injections + " with seed " + seed).that(violations).isEmpty();
    }
}
