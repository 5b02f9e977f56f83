package org.amaranthlock.coordination.availability;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.Test;

class TargetAvailabilityTest {
    private static final TargetIncarnation TARGET = new TargetIncarnation(new TargetId("t"), 5, "10.0.0.1:80");
    private static final AvailabilityStatement LEAVING = new AvailabilityStatement(true, new RestStatement.NotAsked());

    private final TargetAvailability availability = new TargetAvailability(AvailabilityListener.none());

    @Test
    void restEndsByItself() {
        availability.record(TARGET, rest(3_000), 1_000);
        assertThat(availability.mayReceive(TARGET, 3_999)).isFalse();
        assertThat(availability.restEndMillis(TARGET, 3_999)).hasValue(4_000);
        assertThat(availability.mayReceive(TARGET, 4_000)).isTrue();
    }

    // Guards against an answer that was on its way and would end a rest too soon.
    @Test
    void shorterRestDoesNotShortenLongerOne() {
        availability.record(TARGET, rest(3_000), 1_000);
        availability.record(TARGET, rest(500), 1_100);
        assertThat(availability.mayReceive(TARGET, 3_900)).isFalse();
    }

    // Guards against a target that is shut out for good by an absurd duration.
    @Test
    void restIsBounded() {
        availability.record(TARGET, rest(Long.MAX_VALUE / 2), 0);
        assertThat(availability.mayReceive(TARGET, TargetAvailability.MAX_REST_MILLIS))
                .isTrue();
    }

    @Test
    void unusableRestIsShort() {
        AvailabilityStatement unusable = new AvailabilityStatement(false, new RestStatement.Unusable("soon"));
        availability.record(TARGET, unusable, 0);
        assertThat(availability.mayReceive(TARGET, TargetAvailability.ASSUMED_REST_MILLIS - 1))
                .isFalse();
        assertThat(availability.mayReceive(TARGET, TargetAvailability.ASSUMED_REST_MILLIS))
                .isTrue();
    }

    // Guards against a target that leaves and gets requests again because its registration still says that it is ready.
    @Test
    void registrationDoesNotEndLeaving() {
        availability.record(TARGET, LEAVING, 0);
        availability.update(List.of(TARGET), 2 * TargetAvailability.UNREGISTERED_MILLIS);
        assertThat(availability.mayReceive(TARGET, 2 * TargetAvailability.UNREGISTERED_MILLIS))
                .isFalse();
    }

    @Test
    void stateOutlivesRegistrationThatIsMissingForSomeTime() {
        availability.record(TARGET, LEAVING, 0);
        availability.update(List.of(), 5_000);
        assertThat(availability.isLeaving(TARGET)).isTrue();
        availability.update(List.of(), TargetAvailability.UNREGISTERED_MILLIS);
        assertThat(availability.isLeaving(TARGET)).isFalse();
    }

    @Test
    void stateEndsWithTheRunOfTheTarget() {
        availability.record(TARGET, new AvailabilityStatement(true, new RestStatement.Asked(60_000)), 0);
        TargetIncarnation restarted = new TargetIncarnation(TARGET.id(), 9, TARGET.authority());
        assertThat(availability.mayReceive(restarted, 10)).isTrue();
        availability.update(List.of(restarted), 10);
        assertThat(availability.mayReceive(TARGET, 10)).isTrue();
    }

    private static AvailabilityStatement rest(long millis) {
        return new AvailabilityStatement(false, new RestStatement.Asked(millis));
    }
}
