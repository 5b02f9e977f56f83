package org.amaranthlock.coordination.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.admission.DefaultAdmissionController;
import org.amaranthlock.coordination.routing.CapacityView;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Work;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

class RetryBudgetProperties {
    /** Number of retries allowed for a service before it has had any successes. */
    private static final int BURST = 10;

    private static final int REQUESTS = 300;
    private static final long REQUEST_INTERVAL_MILLIS = 20;

    /** Failures whose retries count against the budget; a call that was never sent is retried without it. */
    private static final List<FailureKind> BUDGETED_FAILURES =
            List.of(FailureKind.LOST, FailureKind.TIMED_OUT, FailureKind.BUSY);

    private final RequestFixture fixture = RequestFixture.withTargets(6);

    private RequestCoordinator coordinator() {
        RequestDependencies dependencies = fixture.dependencies;
        return new RequestCoordinator(new RequestDependencies(
                dependencies.membership(),
                dependencies.configuration(),
                dependencies.targets(),
                dependencies.selector(),
                new DefaultAdmissionController(
                        new FixedCapacity(),
                        dependencies.configuration(),
                        dependencies.membership(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
                dependencies.ledger(),
                dependencies.poison(),
                dependencies.checkpoints()));
    }

    private RequestSpec call(int number) {
        return new RequestSpec(
                new RequestId("01-" + number),
                new AccountId("shop"),
                RequestFixture.SERVICE,
                new Profile("profile", ProfileKind.RETRIABLE, 3, 1, 600_000),
                Optional.empty(),
                number,
                fixture.now,
                fixture.now + 600_000,
                new Work.ServiceCall("GET", "/stock", Map.of(), new byte[0]));
    }

    /** Guards against retries that multiply the load on a service that is already failing. */
    @Property(seed = "41", tries = 100)
    void retriesStayWithinATenthOfTheSuccessesAndTheBurst(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 100) int failurePercent) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        RequestCoordinator coordinator = coordinator();
        int retries = 0;
        int successes = 0;
        for (int number = 0; number < REQUESTS; number++) {
            fixture.now += REQUEST_INTERVAL_MILLIS;
            coordinator.handle(new Event.Tick(), fixture.now);
            Event next = new RequestEvent.Arrived(call(number), OptionalInt.empty());
            boolean first = true;
            while (true) {
                Optional<AttemptId> attempt = findDispatchedAttempt(coordinator.handle(next, fixture.now));
                if (attempt.isEmpty()) {
                    break;
                }
                if (!first) {
                    retries++;
                }
                first = false;
                if (random.nextInt(100) < failurePercent) {
                    FailureKind kind = BUDGETED_FAILURES.get(random.nextInt(BUDGETED_FAILURES.size()));
                    next = new RequestEvent.AttemptFailed(attempt.get(), kind, "test", OptionalLong.empty());
                } else {
                    successes++;
                    next = new RequestEvent.ServiceResponded(
                            attempt.get(), new ServiceResponse(200, Map.of(), new byte[0]));
                }
            }
            assertThat((double) retries).isAtMost(0.1 * successes + BURST + 1e-6);
        }
    }

    private static Optional<AttemptId> findDispatchedAttempt(List<Command> commands) {
        return commands.stream()
                .filter(RequestCommand.CallService.class::isInstance)
                .map(command -> ((RequestCommand.CallService) command).attempt())
                .findFirst();
    }

    private static final class FixedCapacity implements CapacityView {
        @Override
        public double slotShare(ServiceName service, double sharers, long nowMillis) {
            return 16;
        }

        @Override
        public int localAttempts(ServiceName service) {
            return 0;
        }

        @Override
        public int targetCount(ServiceName service) {
            return 6;
        }

        @Override
        public int totalSlots(ServiceName service) {
            return 16;
        }
    }
}
