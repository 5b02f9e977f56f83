package org.amaranthlock.faults;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.Stream;
import org.amaranthlock.faults.FaultProperties.FaultInjection;
import org.amaranthlock.faults.FaultProperties.NetworkFaults;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against the return of faults that sweeps of the fault matrix over further seeds have found. */
class FormerFaultsTest {
    static Stream<Arguments> cells() {
        return Stream.of(
                // A former partition owner that was cut off denied a record that its successor had written.
                Arguments.of(
                        1, RequestKind.FENCED_ORDER, RequestStep.ANSWERED_RECORD_PENDING, Fault.ROUTER_CUT_ONE_WAY),
                Arguments.of(4, RequestKind.PLAIN_ORDER, RequestStep.GRANTED, Fault.ROUTER_CUT_BOTH_WAYS),
                // A router that owned the partition of its own request took the record with it.
                Arguments.of(3, RequestKind.LONG_GENERATION, RequestStep.ANSWERED_RECORD_PENDING, Fault.ROUTER_KILLED),
                Arguments.of(3, RequestKind.FENCED_ORDER, RequestStep.ANSWERED_RECORD_PENDING, Fault.ROUTER_KILLED));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void faultStaysFixed(int seed, RequestKind kind, RequestStep step, Fault fault) {
        FaultMatrixCell cell = new FaultMatrixCell(kind, step, fault);
        List<String> problems = new FaultMatrixCellRun(cell, seed).run();
        assertWithMessage(cell + " with seed " + seed).that(problems).isEmpty();
    }

    static Stream<Arguments> sequences() {
        return Stream.of(
                // A woken router began a request anew that its caller had taken elsewhere; the caller got the rest of
                // its answer from the second generation.
                Arguments.of(
                        -27_885,
                        List.of(
                                new FaultInjection(Fault.ENGINE_KILLED, 0, 0, 0),
                                new FaultInjection(Fault.ROUTER_PAUSED, 1, 0, 1_335)),
                        new NetworkFaults(0, 0, 0, 300)));
    }

    @ParameterizedTest
    @MethodSource("sequences")
    void sequenceStaysFixed(int seed, List<FaultInjection> strikes, NetworkFaults network) {
        List<String> problems = FaultProperties.problems(strikes, network, seed);
        assertWithMessage(strikes + " with seed " + seed).that(problems).isEmpty();
    }
}
