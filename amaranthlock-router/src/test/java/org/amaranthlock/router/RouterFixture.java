package org.amaranthlock.router;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.configuration.ServiceSettings;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.router.settings.SettingsReader;
import org.amaranthlock.transport.ObjectApiTransport;
import org.amaranthlock.transport.PeerTransport;
import org.amaranthlock.transport.TargetTransport;

/** Router process on ephemeral ports with a {@link ScriptedCore} and no-op transports. */
public final class RouterFixture implements AutoCloseable {
    public static final String OPERATOR_KEY = "operator-secret";
    public static final String ACCOUNT_KEY = "shop-secret";
    public static final String OTHER_ACCOUNT_KEY = "other-secret";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    public final ScriptedCore core = new ScriptedCore();
    public final CountDownLatch coreFailed = new CountDownLatch(1);
    public final RouterProcess process;
    public final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    public RouterFixture() {
        this(TIMEOUT);
    }

    RouterFixture(Duration readTimeout) {
        RouterProcessFactory processFactory = new RouterProcessFactory(
                (self, settings, address, start) -> new CoreComponents(core, new FixedConfiguration(), () -> false),
                (self, settings, events, clock) -> new Transports(
                        new NoOpObjectApiTransport(), new NoOpTargetTransport(), new NoOpPeerTransport()));
        process = new RouterProcess(settings(), processFactory, coreFailed::countDown, readTimeout);
        process.start();
    }

    public static RouterSettings settings() {
        return SettingsReader.parse("test.toml", settingsText());
    }

    public static String settingsText() {
        return """
                [host]
                name = "router-1"
                region = "north"
                failure-domain = "north-a"
                [http]
                address = "127.0.0.1:0"
                [peer]
                address = "127.0.0.1:0"
                seeds = ["router-2@127.0.0.1:7402"]
                cluster-key = "a-secret-of-the-cluster"
                [platform]
                address = "127.0.0.1:7500"
                [admin.operators]
                anna = "%s"
                [log]
                format = "json"
                level = "WARN"
                """.formatted(sha256(OPERATOR_KEY));
    }

    public static String sha256(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    public String address() {
        return "127.0.0.1:" + process.httpAddress().getPort();
    }

    public HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address() + path)).timeout(TIMEOUT);
    }

    public HttpRequest.Builder chatCompletion(String body) {
        return request("/v1/chat/completions")
                .header("Authorization", "Bearer " + ACCOUNT_KEY)
                .POST(BodyPublishers.ofString(body));
    }

    public HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return httpClient.send(request.build(), BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return httpClient.sendAsync(request.build(), BodyHandlers.ofString());
    }

    public Socket connect() throws IOException {
        InetSocketAddress address = process.httpAddress();
        Socket socket = new Socket("127.0.0.1", address.getPort());
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        return socket;
    }

    public static OutcomeRecord completedOutcome(RequestSpec spec, int tokens) {
        return new OutcomeRecord(
                spec.id(),
                spec.account(),
                spec.service(),
                spec.profile().name(),
                spec.ledgerKey(),
                Outcome.COMPLETED,
                ExecutionStatus.RAN,
                "",
                200,
                new HostId("router-1"),
                List.of(),
                1,
                tokens,
                0,
                spec.arrivedAtMillis(),
                spec.arrivedAtMillis());
    }

    @Override
    public void close() {
        httpClient.shutdownNow();
        process.stop();
    }

    private static final class FixedConfiguration implements ConfigurationView {
        private final Profile profile = new Profile("drafting", ProfileKind.KEPT_ALIVE, 3, 1, 60_000);

        @Override
        public Optional<ServiceSettings> service(ServiceName name) {
            return services().stream()
                    .filter(service -> service.name().equals(name))
                    .findFirst();
        }

        @Override
        public List<ServiceSettings> services() {
            return List.of(
                    new ServiceSettings(new ServiceName("drafts"), profile, true),
                    new ServiceSettings(new ServiceName("orders"), profile, false));
        }

        @Override
        public Optional<AccountSettings> account(AccountId id) {
            return Optional.empty();
        }

        @Override
        public Optional<AccountSettings> accountByKey(String keySha256) {
            if (keySha256.equals(sha256(OTHER_ACCOUNT_KEY))) {
                return Optional.of(new AccountSettings(new AccountId("others"), keySha256, 1, OptionalDouble.empty()));
            }
            return keySha256.equals(sha256(ACCOUNT_KEY))
                    ? Optional.of(new AccountSettings(new AccountId("shops"), keySha256, 1, OptionalDouble.empty()))
                    : Optional.empty();
        }

        @Override
        public List<Target> targets() {
            return List.of();
        }

        @Override
        public long revision() {
            return 7;
        }

        @Override
        public boolean isReady() {
            return true;
        }
    }

    private static final class NoOpObjectApiTransport implements ObjectApiTransport {
        @Override
        public void execute(ObjectApiCommand command) {}

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }

    private static final class NoOpTargetTransport implements TargetTransport {
        @Override
        public void execute(RequestCommand command) {}

        @Override
        public void execute(TargetCommand command) {}

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }

    private static final class NoOpPeerTransport implements PeerTransport {
        @Override
        public void send(HostId to, String address, PeerMessage message) {}

        @Override
        public String localAddress() {
            return "127.0.0.1:7401";
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }
}
