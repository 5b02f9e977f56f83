package org.amaranthlock.transport.target;

import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;

/** Attempt, request and target of the tests of this package. */
final class TargetSamples {
    static final AttemptId ATTEMPT = new AttemptId(new RequestId("01-a"), 2);

    private TargetSamples() {}

    static RequestSpec spec(Work work, ProfileKind kind) {
        return new RequestSpec(
                ATTEMPT.request(),
                new AccountId("acc"),
                new ServiceName("s"),
                new Profile("p", kind, 3, 0, 1_000),
                Optional.of(new IdempotencyKey("k/1")),
                1,
                0,
                1_000,
                work);
    }

    static Target target(String address) {
        return new Target(
                new TargetId("t1"),
                new ServiceName("s"),
                address,
                new Region("eu"),
                new FailureDomain("a"),
                "m",
                "v1",
                4,
                Set.of());
    }
}
