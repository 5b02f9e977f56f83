package org.amaranthlock.bench.account;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class StreamFatesTest {
    @Test
    void tellsHowStreamsEndedAndWhatDelayedThem() {
        Map<String, StreamFates.Fate> fates = StreamFates.read(List.of(
                        line(1.0, "admitted id=a kind=STREAMING"),
                        line(2.0, "first-event id=a elapsed_ms=1000"),
                        line(3.0, "lost id=a cause=closed"),
                        line(4.0, "first-event id=a elapsed_ms=3000"),
                        line(5.0, "answered id=a status=200"),
                        line(1.0, "admitted id=b kind=STREAMING"),
                        line(1.0, "sent id=b attempt=1 last_event=7"),
                        line(1.5, "rejected id=b cause=deadline-unreachable status=503"),
                        line(1.0, "admitted id=c kind=STREAMING"),
                        line(1.0, "admitted id=d kind=IDEMPOTENT"),
                        "no decision"))
                .byFate(4_500, 700);
        assertThat(fates.keySet())
                .containsExactly(
                        "answered after a long gap",
                        "host lost",
                        "resumed by the client, rejected: deadline-unreachable");
        assertThat(fates.get("host lost").examples()).containsExactly("c at 1.0 s");
    }

    private static String line(double seconds, String decision) {
        return "   " + seconds + " host-1 2026-01-01T00:00:00Z INFO event=" + decision;
    }
}
