package org.amaranthlock.coordination.streamversion;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.amaranthlock.model.SoftwareVersion;
import org.junit.jupiter.api.Test;

class StreamVersionsTest {
    private static final SoftwareVersion V1 = new SoftwareVersion("v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("v2");
    private static final StreamKey STREAM = StreamKey.of("r1");

    private final StreamVersions versions = new StreamVersions();

    @Test
    void unrecordedStreamHasNoKnownVersion() {
        versions.record(STREAM, V1, 0);
        assertThat(versions.version(StreamKey.of("r2"))).isEmpty();
    }

    // Guards against the version of a lost attempt that brought no event.
    @Test
    void laterAttemptReplacesEarlierOne() {
        versions.record(STREAM, V1, 0);
        versions.record(STREAM, V2, 10);
        assertThat(versions.version(STREAM)).hasValue(V2);
    }

    // Guards against the memory of a host that missed the later attempt.
    @Test
    void repeatedVersionReplacesNothing() {
        versions.record(STREAM, V2, 0);
        versions.recordRepeated(STREAM, V1, 10);
        assertThat(versions.version(STREAM)).hasValue(V2);
    }

    @Test
    void announcementReplacesRepeatedVersion() {
        versions.recordRepeated(STREAM, V1, 0);
        versions.record(STREAM, V2, 10);
        assertThat(versions.version(STREAM)).hasValue(V2);
    }

    @Test
    void versionIsForgottenAfterRetention() {
        versions.record(STREAM, V1, 0);
        assertThat(versions.streamsByVersion(StreamVersions.RETENTION_MILLIS - 1))
                .containsExactly(V1, List.of(STREAM));
        assertThat(versions.streamsByVersion(StreamVersions.RETENTION_MILLIS)).isEqualTo(Map.of());
        assertThat(versions.version(STREAM)).isEmpty();
    }

    // Guards against memory that grows with the number of streams.
    @Test
    void oldestStreamsAreDroppedBeyondTheLimit() {
        for (int i = 0; i < StreamVersions.MAX_ENTRIES + 5; i++) {
            versions.record(new StreamKey(i), V1, 0);
        }
        assertThat(versions.size()).isEqualTo(StreamVersions.MAX_ENTRIES);
        assertThat(versions.version(new StreamKey(4))).isEmpty();
        assertThat(versions.version(new StreamKey(5))).hasValue(V1);
    }

    // Guards against hosts of different builds that compute different keys for one stream.
    @Test
    void keyOfAnIdStaysTheSameOverBuilds() {
        assertThat(StreamKey.of("9c41d07be2a35f68").value()).isEqualTo(-3_154_645_501_210_636_293L);
    }
}
