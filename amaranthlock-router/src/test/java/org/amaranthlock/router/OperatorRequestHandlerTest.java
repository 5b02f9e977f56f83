package org.amaranthlock.router;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Command.RecordTimelineEvent;
import org.amaranthlock.coordination.Command.Stop;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationAccepted;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationShown;
import org.amaranthlock.coordination.OperatorCommand.DrainStarted;
import org.amaranthlock.coordination.OperatorCommand.Failed;
import org.amaranthlock.coordination.OperatorCommand.OutcomeShown;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.OperatorEvent.Drain;
import org.amaranthlock.coordination.OperatorEvent.GetConfiguration;
import org.amaranthlock.coordination.OperatorEvent.PutConfiguration;
import org.amaranthlock.coordination.OperatorEvent.ShowOutcome;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class OperatorRequestHandlerTest {
    private static final String ENTRY_PATH = "/admin/config/account/shops";
    private static final ConfigurationEntry CURRENT_ENTRY = new ConfigurationEntry(
            "account", "shops", new ConfigurationVersion(12, Optional.of("weight = 2"), "berta", "c-1", 0), List.of());

    private final RouterFixture router = new RouterFixture();

    @AfterEach
    void stop() {
        router.close();
    }

    // Guards against configuration changes, shutdowns and disclosure of data without an operator key.
    @Test
    void operatorCallsRequireAnOperatorKey() throws Exception {
        for (String key : List.of("", "Bearer", "Bearer wrong", "Bearer " + RouterFixture.ACCOUNT_KEY)) {
            for (HttpRequest.Builder request : List.of(
                    router.request(ENTRY_PATH).header("If-None-Match", "*").PUT(BodyPublishers.ofString("weight = 9")),
                    router.request(ENTRY_PATH).header("If-Match", "\"12\"").DELETE(),
                    router.request("/admin/drain").POST(BodyPublishers.noBody()),
                    router.request("/admin/config"),
                    router.request("/metrics"))) {
                if (!key.isEmpty()) {
                    request.header("Authorization", key);
                }
                assertThat(router.send(request).statusCode()).isEqualTo(401);
            }
        }
        assertThat(router.core.findReceived(OperatorEvent.class)).isEmpty();
    }

    // Guards against unconditional changes, and against losing the author or the expected revision of a change.
    @Test
    void changeRequiresAndForwardsTheExpectedRevision() throws Exception {
        router.core.onEvent(event -> event instanceof PutConfiguration put
                ? List.of(new ConfigurationAccepted(put.call(), CURRENT_ENTRY))
                : List.of());
        assertThat(router.send(admin(ENTRY_PATH).PUT(BodyPublishers.ofString("weight = 2")))
                        .statusCode())
                .isEqualTo(400);
        HttpResponse<String> response =
                router.send(admin(ENTRY_PATH).header("If-Match", "\"11\"").PUT(BodyPublishers.ofString("weight = 2")));
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("ETag")).hasValue("\"12\"");
        PutConfiguration put = router.core.awaitEvent(PutConfiguration.class);
        assertThat(put.expectedRevision()).isEqualTo(11);
        assertThat(put.author()).isEqualTo("anna");
        assertThat(put.text()).hasValue("weight = 2");
        router.send(admin(ENTRY_PATH).header("If-None-Match", "*").PUT(BodyPublishers.ofString("weight = 2")));
        assertThat(router.core.awaitEvent(PutConfiguration.class).expectedRevision())
                .isEqualTo(0);
    }

    // Guards against a version conflict whose response does not contain the concurrent change.
    @Test
    void versionConflictReturnsTheCurrentEntry() throws Exception {
        router.core.onEvent(event -> switch (event) {
            case PutConfiguration put ->
                List.<Command>of(new Failed(put.call(), ErrorCode.VERSION_CONFLICT, "Read the entry again."));
            case GetConfiguration get -> List.<Command>of(new ConfigurationShown(get.call(), List.of(CURRENT_ENTRY)));
            default -> List.of();
        });
        HttpResponse<String> response =
                router.send(admin(ENTRY_PATH).header("If-Match", "\"11\"").PUT(BodyPublishers.ofString("weight = 3")));
        assertThat(response.statusCode()).isEqualTo(409);
        assertThat(response.body()).contains("\"present\":{\"kind\":\"account\"");
        assertThat(response.body()).contains("\"revision\":12");
    }

    // Guards against kinds and names that address objects outside the configuration.
    @Test
    void unknownKindsAndInvalidNamesAreRejected() throws Exception {
        assertThat(router.send(admin("/admin/config/ledger/3")).statusCode()).isEqualTo(400);
        assertThat(router.send(admin("/admin/config/account/a%2Fb")).statusCode())
                .isEqualTo(400);
    }

    // Guards against reporting a missing outcome record as an internal error of the router.
    @Test
    void missingOutcomeRecordIsNotFound() throws Exception {
        router.core.onEvent(event -> event instanceof ShowOutcome show
                ? List.of(new OutcomeShown(show.call(), Optional.empty()))
                : List.of());
        assertThat(router.send(admin("/admin/accounts/05-abc")).statusCode()).isEqualTo(404);
        assertThat(router.send(admin("/admin/accounts/nonsense")).statusCode()).isEqualTo(400);
    }

    // Guards against a timeline or metrics that omit what the decision core reports.
    @Test
    void timelineReadinessAndMetricsAreServed() throws Exception {
        router.core.onEvent(event -> event instanceof Drain drain
                ? List.of(
                        new RecordTimelineEvent("drain", "router-1", "Drain started"),
                        new DrainStarted(drain.call(), 3))
                : List.of());
        HttpResponse<String> drain = router.send(admin("/admin/drain").POST(BodyPublishers.noBody()));
        assertThat(drain.statusCode()).isEqualTo(202);
        assertThat(drain.body()).isEqualTo("{\"openRequests\":3}");
        assertThat(router.send(admin("/admin/timeline")).body()).contains("\"text\":\"Drain started\"");
        assertThat(router.send(router.request("/readyz")).statusCode()).isEqualTo(200);
        assertThat(router.send(router.request("/healthz")).statusCode()).isEqualTo(200);
        String metrics = router.send(admin("/metrics")).body();
        assertThat(metrics).contains("amaranthlock_config_revision 7.0");
        assertThat(metrics).contains("amaranthlock_config_staleness_seconds 0.0");
    }

    // Guards against a process that does not terminate after its drain, or that terminates before the drain is
    // complete.
    @Test
    void stopCommandCompletesTheDrain() throws Exception {
        assertThat(router.process.awaitDrained(0)).isFalse();
        router.core.returnAtNextTick(new Stop());
        assertThat(router.process.awaitDrained(10)).isTrue();
    }

    // Guards against a router that continues with inconsistent state after an exception in the decision core.
    @Test
    void exceptionInTheCoreStopsTheControlLoop() throws Exception {
        router.core.onEvent(event -> {
            throw new IllegalStateException("thrown by the test");
        });
        router.sendAsync(admin("/admin/targets"));
        router.core.awaitEvent(Event.class);
        router.coreFailed.await();
        router.sendAsync(admin("/admin/targets"));
        assertThat(router.core.findReceived(OperatorEvent.class)).isEmpty();
    }

    private HttpRequest.Builder admin(String path) {
        return router.request(path).header("Authorization", "Bearer " + RouterFixture.OPERATOR_KEY);
    }
}
