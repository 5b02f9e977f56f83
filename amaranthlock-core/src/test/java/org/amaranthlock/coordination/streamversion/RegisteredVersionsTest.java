package org.amaranthlock.coordination.streamversion;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.amaranthlock.coordination.streamversion.RegisteredVersions.RegisteredTarget;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.junit.jupiter.api.Test;

class RegisteredVersionsTest {
    private static final ServiceName ENGINES = new ServiceName("engines");
    private static final SoftwareVersion V1 = new SoftwareVersion("v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("v2");
    private static final long STREAM_MILLIS = 25_000;

    private final RegisteredVersions versions = new RegisteredVersions();

    @Test
    void onlyVersionIsKnownOnceItIsRegisteredForLongerThanAStreamLasts() {
        versions.update(List.of(engine(V1, 0)), 1_000);
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 25_999)).isEmpty();
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 26_000)).hasValue(V1);
    }

    // Guards against a host that rejects every resumed stream for some time after its start.
    @Test
    void targetThatRanBeforeThisHostStartedCountsFromItsStart() {
        versions.update(List.of(engine(V1, 0), engine(V1, 40_000)), 1_000);
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 1_000)).hasValue(V1);
    }

    // Guards against a guess while two versions serve.
    @Test
    void noneIsKnownWhileTwoAreRegistered() {
        versions.update(List.of(engine(V1, 40_000), engine(V2, 0)), 1_000);
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 90_000)).isEmpty();
    }

    // Guards against a stream of a version whose last target has just left, long after the list changed before.
    @Test
    void versionThatLeftCountsForAsLongAsAStreamLasts() {
        versions.update(List.of(engine(V1, 40_000), engine(V2, 30_000)), 1_000);
        versions.update(List.of(engine(V2, 0)), 90_000);
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 114_999)).isEmpty();
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 115_000)).hasValue(V2);
    }

    @Test
    void versionsOfAnotherServiceDoNotMatter() {
        RegisteredTarget desk = new RegisteredTarget(new ServiceName("desks"), V2, 40_000);
        versions.update(List.of(engine(V1, 40_000), desk), 1_000);
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 1_000)).hasValue(V1);
    }

    // Guards against deployments that use no versions, in which nothing could be resumed after a start.
    @Test
    void targetsThatNameNoVersionNeedNoTime() {
        versions.update(List.of(engine(SoftwareVersion.UNKNOWN, 0)), 1_000);
        assertThat(versions.onlyVersion(ENGINES, STREAM_MILLIS, 1_000)).hasValue(SoftwareVersion.UNKNOWN);
    }

    private static RegisteredTarget engine(SoftwareVersion version, long runningMillis) {
        return new RegisteredTarget(ENGINES, version, runningMillis);
    }
}
