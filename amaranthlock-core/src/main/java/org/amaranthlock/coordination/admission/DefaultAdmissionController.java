package org.amaranthlock.coordination.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.routing.CapacityView;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceName;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * {@link AdmissionController} that starts or queues the requests that can complete before their deadline, in weighted
 * fair order per client account, and refuses all others immediately.
 *
 * <p>Not thread-safe.
 */
public final class DefaultAdmissionController implements AdmissionController {
    /** Minimum expected delay of a refused client's retry, before jitter. */
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    /** Maximum expected delay of a refused client's retry, before jitter. */
    private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

    /**
     * Maximum predicted wait of a queued request; clients wait a few seconds at most, and a short queue is sufficient
     * to keep the slots busy.
     */
    private static final long MAX_WAIT_MILLIS = 5_000;

    private final CapacityView capacity;
    private final ConfigurationView configuration;
    private final MembershipView membership;
    private final UniformRandomProvider random;
    private final AccountRateLimiter accountLimiter;
    private final ResponseLengthPredictor lengthPredictor = new ResponseLengthPredictor();
    private final Map<ServiceName, ServiceQueue> queues = new TreeMap<>();
    private final Map<RequestId, TrackedRequest> trackedRequests = new LinkedHashMap<>();

    /** Creates a controller without queued requests. */
    public DefaultAdmissionController(
            CapacityView capacity,
            ConfigurationView configuration,
            MembershipView membership,
            UniformRandomProvider random) {
        this.capacity = Objects.requireNonNull(capacity, "capacity");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.random = Objects.requireNonNull(random, "random");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.accountLimiter = new AccountRateLimiter(configuration, membership);
    }

    @Override
    public AdmissionDecision admit(RequestSpec spec, long nowMillis) {
        if (capacity.totalSlots(spec.service()) == 0) {
            return refuse(
                    ErrorCode.NO_TARGET,
                    "No target of service " + spec.service() + " is available; send the request again later.",
                    MIN_RETRY_AFTER_MILLIS);
        }
        ServiceQueue queue = queues.computeIfAbsent(spec.service(), _ -> new ServiceQueue());
        double tokens = lengthPredictor.predict(spec);
        long waitMillis = expectedWaitMillis(spec, queue, nowMillis);
        long runMillis = (long) (tokens * queue.tokenLatency.millisPerToken());
        if (waitMillis > MAX_WAIT_MILLIS) {
            return refuse(
                    ErrorCode.OVERLOADED,
                    "Client account " + spec.account() + " would wait too long for its fair share of service "
                            + spec.service() + "; send the request again later.",
                    backlogMillis(spec, queue, nowMillis));
        }
        if (nowMillis + waitMillis + runMillis > spec.deadlineMillis()) {
            return refuse(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    "The response can't be completed before the deadline; send the request later or allow more time.",
                    backlogMillis(spec, queue, nowMillis));
        }
        long limitWaitMillis = accountLimiter.tryAcquire(spec.account(), tokens, nowMillis);
        if (limitWaitMillis > 0) {
            return refuse(
                    ErrorCode.ACCOUNT_LIMIT,
                    "Client account " + spec.account() + " exceeds its token rate limit; send the request again later.",
                    limitWaitMillis);
        }
        TrackedRequest entry = new TrackedRequest(spec, tokens);
        trackedRequests.put(spec.id(), entry);
        if (queue.waiting.size() == 0 && startableRequests(spec.service(), nowMillis) > 0) {
            queue.waiting.charge(spec.account(), tokens, weight(spec.account()));
            entry.start(nowMillis);
            return new AdmissionDecision.Admitted();
        }
        queue.waiting.add(spec.account(), spec, tokens, weight(spec.account()));
        return new AdmissionDecision.Queued();
    }

    @Override
    public List<RequestId> removeExpired(long nowMillis) {
        List<RequestId> expired = new ArrayList<>();
        for (ServiceQueue queue : queues.values()) {
            queue.waiting
                    .removeIf(spec -> cannotFinish(spec, queue, nowMillis))
                    .forEach(spec -> expired.add(spec.id()));
        }
        expired.forEach(this::stopTracking);
        return expired;
    }

    @Override
    public void recordTokens(RequestId request, int tokens, long nowMillis) {
        TrackedRequest entry = trackedRequests.get(request);
        if (entry != null) {
            entry.actualTokens += tokens;
        }
    }

    @Override
    public void recordCompletion(RequestId request, boolean succeeded, long nowMillis) {
        TrackedRequest entry = trackedRequests.get(request);
        if (entry == null) {
            return;
        }
        ServiceQueue queue = queues.get(entry.spec.service());
        if (entry.startedAtMillis < 0) {
            queue.waiting.removeIf(spec -> spec.id().equals(request));
        } else {
            lengthPredictor.recordLength(entry.spec, entry.actualTokens);
            queue.tokenLatency.recordCompletion(entry.actualTokens, nowMillis - entry.startedAtMillis);
            // A failed request must not add to the budget, or it would grow while the service is down.
            if (succeeded) {
                queue.retryBudget.recordSuccess();
            }
        }
        stopTracking(request);
    }

    @Override
    public boolean tryAcquireRetry(RequestSpec spec, long nowMillis) {
        return queues.computeIfAbsent(spec.service(), _ -> new ServiceQueue())
                .retryBudget
                .tryAcquire();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>(accountLimiter.handle(event, nowMillis));
        queues.forEach((service, queue) -> startQueued(service, queue, commands, nowMillis));
        return commands;
    }

    private void startQueued(ServiceName service, ServiceQueue queue, List<Command> commands, long nowMillis) {
        if (queue.waiting.size() == 0) {
            return;
        }
        int free = startableRequests(service, nowMillis);
        while (free > 0) {
            Optional<RequestSpec> next = queue.waiting.poll(_ -> true);
            if (next.isEmpty()) {
                return;
            }
            trackedRequests.get(next.get().id()).start(nowMillis);
            commands.add(new Command.Raise(
                    new RequestEvent.AdmissionGranted(next.get().id())));
            free--;
        }
    }

    private long expectedWaitMillis(RequestSpec spec, ServiceQueue queue, long nowMillis) {
        if (queue.waiting.size() == 0 && startableRequests(spec.service(), nowMillis) > 0) {
            return 0;
        }
        double before = queue.waiting.workBeforeIfBacklogsPersist(spec.account(), this::weight);
        return processingMillis(spec, queue, before, nowMillis);
    }

    /** Returns the time to process the work that is currently queued ahead of a new request. */
    private long backlogMillis(RequestSpec spec, ServiceQueue queue, long nowMillis) {
        return processingMillis(spec, queue, queue.waiting.workBefore(spec.account(), this::weight), nowMillis);
    }

    /** Returns the time to process an amount of work with this router's share of the slots. */
    private long processingMillis(RequestSpec spec, ServiceQueue queue, double work, long nowMillis) {
        double slots = capacity.slotShare(spec.service(), sharingRouters(spec.service()), nowMillis);
        return (long) (work * queue.tokenLatency.millisPerToken() / slots);
    }

    /** Returns the number of requests that may start now; 0 or less if this router's share of the slots is in use. */
    private int startableRequests(ServiceName service, long nowMillis) {
        double share = capacity.slotShare(service, sharingRouters(service), nowMillis);
        return (int) Math.ceil(share) - capacity.localAttempts(service);
    }

    /** Returns the expected number of routers whose subset contains a given target. */
    private double sharingRouters(ServiceName service) {
        long totalTargets = configuration.targets().stream()
                .filter(target -> target.service().equals(service))
                .count();
        double subsetFraction = Math.min(1.0, (double) capacity.targetCount(service) / Math.max(1, totalTargets));
        return Math.max(1, membership.liveMembers().size() * subsetFraction);
    }

    private boolean cannotFinish(RequestSpec spec, ServiceQueue queue, long nowMillis) {
        double runMillis = trackedRequests.get(spec.id()).predictedTokens * queue.tokenLatency.millisPerToken();
        return nowMillis + runMillis > spec.deadlineMillis();
    }

    private void stopTracking(RequestId request) {
        TrackedRequest entry = trackedRequests.remove(request);
        if (entry != null) {
            accountLimiter.correctPrediction(entry.spec.account(), entry.predictedTokens, entry.actualTokens);
        }
    }

    private double weight(AccountId account) {
        return configuration.account(account).map(AccountSettings::weight).orElse(1.0);
    }

    /**
     * Refuses a request, with jitter of 50% around the expected delay so that refused clients do not retry together.
     */
    private AdmissionDecision refuse(ErrorCode code, String detail, long expectedMillis) {
        long bounded = Math.clamp(expectedMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
        return new AdmissionDecision.Refused(code, detail, (long) (bounded * (0.5 + random.nextDouble())));
    }

    private static final class ServiceQueue {
        private final FairQueue<RequestSpec> waiting = new FairQueue<>();
        private final RetryBudget retryBudget = new RetryBudget();
        private final ServiceTokenLatency tokenLatency = new ServiceTokenLatency();
    }

    private static final class TrackedRequest {
        private final RequestSpec spec;
        private final double predictedTokens;
        private int actualTokens;
        private long startedAtMillis = -1;

        private TrackedRequest(RequestSpec spec, double predictedTokens) {
            this.spec = spec;
            this.predictedTokens = predictedTokens;
        }

        private void start(long nowMillis) {
            startedAtMillis = nowMillis;
        }
    }
}
