package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.admission.AdmissionController;
import org.amaranthlock.coordination.admission.AdmissionDecision;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.configuration.ServiceSettings;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.coordination.poison.PoisonRegistry;
import org.amaranthlock.coordination.routing.SelectionContext;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.Work;
import org.amaranthlock.protocol.peer.CompletedResponse;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.protocol.peer.PoisonMark;
import org.amaranthlock.state.TargetDirectory;

/** Request coordinator with fakes for the other components of the core, in virtual time. */
final class RequestFixture {
    static final ServiceName SERVICE = new ServiceName("service");
    static final Region REGION = new Region("north");

    long now = 1_000_000;
    long deadlineMillis = 600_000;
    final List<Target> targets = new ArrayList<>();
    final Set<TargetId> unavailableTargets = new LinkedHashSet<>();
    final List<FinalOutcome> outcomes = new ArrayList<>();
    final List<RequestSpec> claims = new ArrayList<>();
    final List<SelectionContext> selections = new ArrayList<>();
    final List<List<PoisonRegistry.RunningRequest>> targetCrashes = new ArrayList<>();
    final Map<AttemptId, TargetId> inFlight = new LinkedHashMap<>();
    final List<Command> commands = new ArrayList<>();
    final List<RequestSpec> searches = new ArrayList<>();
    final FakeMembership membership = new FakeMembership("router-0");
    AdmissionDecision admission = new AdmissionDecision.Admitted();
    PoisonRegistry.PoisonState poisonState = PoisonRegistry.PoisonState.CLEAN;
    boolean retryAllowed = true;
    double medianTokenLatency = Double.POSITIVE_INFINITY;
    final RequestDependencies dependencies = new RequestDependencies(
            membership,
            new Configuration(),
            new Directory(),
            new Selector(),
            new Admission(),
            new Ledger(),
            new Poison(),
            new Checkpoints());
    final RequestCoordinator coordinator = new RequestCoordinator(dependencies);

    static RequestFixture withTargets(int count, Capability... capabilities) {
        RequestFixture fixture = new RequestFixture();
        for (int i = 0; i < count; i++) {
            fixture.targets.add(target(i, "domain-" + i % 3, capabilities));
        }
        fixture.send(new Event.Tick());
        return fixture;
    }

    static Target target(int number, String domain, Capability... capabilities) {
        return new Target(
                new TargetId("target-" + number),
                SERVICE,
                "127.0.0.1:" + (9000 + number),
                REGION,
                new FailureDomain(domain),
                "model",
                "v1",
                16,
                Set.of(capabilities));
    }

    RequestSpec generation(String id, ProfileKind kind, int maxTokens) {
        return spec(id, kind, new Work.Generation("model", "", "prompt", List.of(), maxTokens, 1));
    }

    RequestSpec order(String id) {
        return spec(id, ProfileKind.AT_MOST_ONCE, new Work.ServiceCall("POST", "/orders", Map.of(), new byte[] {1}));
    }

    RequestSpec spec(String id, ProfileKind kind, Work work) {
        return new RequestSpec(
                new RequestId("01-" + id),
                new AccountId("shop"),
                SERVICE,
                new Profile("profile", kind, 1000, 1, 600_000),
                Optional.of(new IdempotencyKey("key")),
                7,
                now,
                now + deadlineMillis,
                work);
    }

    /** Passes an event to the coordinator and returns the resulting commands. */
    List<Command> send(Event event) {
        List<Command> result = coordinator.handle(event, now);
        commands.addAll(result);
        return result;
    }

    /** Advances the time, with a tick every 50 ms. */
    void advance(long millis) {
        long end = now + millis;
        while (now < end) {
            now = Math.min(end, now + 50);
            send(new Event.Tick());
        }
    }

    <T extends Command> List<T> commandsOfType(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends Command> T lastCommand(Class<T> type) {
        return commandsOfType(type).getLast();
    }

    void failAttempt(AttemptId attempt, RequestEvent.FailureKind kind) {
        send(new RequestEvent.AttemptFailed(attempt, kind, "test", java.util.OptionalLong.empty()));
    }

    List<OutcomeRecord> records() {
        return outcomes.stream().map(FinalOutcome::record).toList();
    }

    /** Returns the commands that end a connection of a client. */
    List<Command> finalCommands() {
        return commands.stream()
                .filter(command -> command instanceof RequestCommand.CompleteStream
                        || command instanceof RequestCommand.DeliverResponse
                        || command instanceof RequestCommand.Refuse
                        || command instanceof RequestCommand.Supersede)
                .toList();
    }

    private final class Configuration implements ConfigurationView {
        @Override
        public Optional<ServiceSettings> service(ServiceName name) {
            return Optional.empty();
        }

        @Override
        public List<ServiceSettings> services() {
            return List.of();
        }

        @Override
        public Optional<AccountSettings> account(AccountId id) {
            return Optional.empty();
        }

        @Override
        public Optional<AccountSettings> accountByKey(String keySha256) {
            return Optional.empty();
        }

        @Override
        public List<Target> targets() {
            return targets;
        }

        @Override
        public long revision() {
            return 1;
        }

        @Override
        public boolean isReady() {
            return true;
        }
    }

    private final class Directory implements TargetDirectory {
        @Override
        public List<Target> targets(ServiceName service) {
            return targets;
        }

        @Override
        public List<Target> allTargets() {
            return targets;
        }

        @Override
        public Optional<Target> target(TargetId id) {
            return targets.stream().filter(target -> target.id().equals(id)).findFirst();
        }

        @Override
        public Optional<String> unavailableReason(TargetId id) {
            return unavailableTargets.contains(id) ? Optional.of("test") : Optional.empty();
        }
    }

    private final class Selector implements TargetSelector {
        @Override
        public Optional<Target> select(RequestSpec spec, SelectionContext context, long nowMillis) {
            selections.add(context);
            List<Target> candidates = targets.stream()
                    .filter(target ->
                            !context.excluded().contains(target.id()) && !unavailableTargets.contains(target.id()))
                    .filter(target -> context.requiredVersion().isEmpty()
                            || context.requiredVersion().equals(target.version()))
                    .toList();
            return candidates.stream()
                    .filter(target -> !context.avoidedDomain().equals(Optional.of(target.failureDomain())))
                    .findFirst()
                    .or(() -> candidates.stream().findFirst());
        }

        @Override
        public void onAttemptStarted(
                AttemptId attempt, RequestSpec spec, Target target, int resumedTokens, long nowMillis) {
            inFlight.put(attempt, target.id());
        }

        @Override
        public void onTokens(AttemptId attempt, int tokens, long nowMillis) {}

        @Override
        public void onAttemptFinished(AttemptId attempt, AttemptResult result, long nowMillis) {
            inFlight.remove(attempt);
        }

        @Override
        public void onTargetEvent(TargetEvent event, long nowMillis) {}

        @Override
        public int localAttempts(TargetId target) {
            return (int) inFlight.values().stream().filter(target::equals).count();
        }

        @Override
        public double expectedTokenLatencyMillis(TargetId target) {
            return 50;
        }

        @Override
        public double medianTokenLatencyMillis(ServiceName service, long nowMillis) {
            return medianTokenLatency;
        }

        @Override
        public double expectedFirstTokenMillis(RequestSpec spec, TargetId target, int resumedTokens) {
            return 100;
        }
    }

    private final class Admission implements AdmissionController {
        @Override
        public AdmissionDecision admit(RequestSpec spec, long nowMillis) {
            return admission;
        }

        @Override
        public List<RequestId> removeExpired(long nowMillis) {
            return List.of();
        }

        @Override
        public void recordTokens(RequestId request, int tokens, long nowMillis) {}

        @Override
        public void recordCompletion(RequestId request, boolean succeeded, long nowMillis) {}

        @Override
        public boolean tryAcquireRetry(RequestSpec spec, long nowMillis) {
            return retryAllowed;
        }

        @Override
        public List<Command> handle(Event event, long nowMillis) {
            return List.of();
        }
    }

    private final class Ledger implements LedgerClient {
        @Override
        public List<Command> requestClaim(RequestSpec spec, long nowMillis) {
            claims.add(spec);
            return List.of();
        }

        @Override
        public List<Command> submitOutcome(FinalOutcome outcome, long nowMillis) {
            outcomes.add(outcome);
            return List.of();
        }

        @Override
        public int pendingOutcomeCount() {
            return 0;
        }

        @Override
        public List<Command> handle(Event event, long nowMillis) {
            return List.of();
        }
    }

    private final class Poison implements PoisonRegistry {
        @Override
        public PoisonState state(RequestSpec spec, long nowMillis) {
            return poisonState;
        }

        @Override
        public void recordTargetCrash(TargetId target, List<RunningRequest> running, long nowMillis) {
            targetCrashes.add(List.copyOf(running));
        }

        @Override
        public void recordCompletion(RequestSpec spec, long nowMillis) {}

        @Override
        public List<PoisonMark> nextMarksToGossip(int limit, long nowMillis) {
            return List.of();
        }

        @Override
        public void merge(List<PoisonMark> marks, long nowMillis) {}
    }

    /** Stores no checkpoints; a test sends the result of a search itself. */
    private final class Checkpoints implements CheckpointStore {
        @Override
        public List<Command> open(CheckpointSource source, long nowMillis) {
            return List.of();
        }

        @Override
        public List<Command> flush(CheckpointSource source, long nowMillis) {
            return List.of();
        }

        @Override
        public List<Command> replicateTokens(CheckpointSource source, long nowMillis) {
            return List.of();
        }

        @Override
        public List<Command> close(CheckpointSource source, long nowMillis) {
            return List.of();
        }

        @Override
        public List<Command> saveCompleted(CheckpointSource source, CompletedResponse response, long nowMillis) {
            return List.of();
        }

        @Override
        public void handOver(CheckpointSource source) {}

        @Override
        public List<Command> search(RequestSpec spec, int resumeAt, long timeoutMillis, long nowMillis) {
            searches.add(spec);
            return List.of();
        }
    }
}
