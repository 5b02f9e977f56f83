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
 * Admits what can finish before its deadline, queues it by weighted fair shares and refuses the rest at once.
 *
 * <p>Not thread-safe.
 */
public final class DefaultAdmissionController implements AdmissionController {
    /** Shortest time that a refused caller is told to stay away. */
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    /** Longest time that a refused caller is told to stay away. */
    private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

    /** Longest predicted wait that is admitted; callers wait a few seconds at most, and a short queue keeps slots full. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    private final CapacityView capacity;
    private final ConfigurationView configuration;
    private final MembershipView membership;
    private final UniformRandomProvider random;
    private final AccountRateLimiter shares;
    private final LengthPredictor lengths = new LengthPredictor();
    private final Map<ServiceName, ServiceQueue> queues = new TreeMap<>();
    private final Map<RequestId, Admitted> admitted = new LinkedHashMap<>();

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
        this.shares = new AccountRateLimiter(configuration, membership);
    }

    @Override
    public AdmissionDecision admit(RequestSpec spec, long nowMillis) {
        if (capacity.totalSlots(spec.service()) == 0) {
            return refuse(
                    ErrorCode.NO_TARGET,
                    "no target of service " + spec.service() + " takes work; retry later",
                    MIN_RETRY_AFTER_MILLIS);
        }
        ServiceQueue queue = queues.computeIfAbsent(spec.service(), _ -> new ServiceQueue());
        double tokens = lengths.predict(spec);
        long waitMillis = expectedWaitMillis(spec, queue, nowMillis);
        long runMillis = (long) (tokens * queue.rate.millisPerToken());
        if (waitMillis > MAX_WAIT_MILLIS) {
            return refuse(
                    ErrorCode.OVERLOADED,
                    "the fair share of client account " + spec.account() + " is used up for seconds; retry later",
                    queuedMillis(spec, queue, nowMillis));
        }
        if (nowMillis + waitMillis + runMillis > spec.deadlineMillis()) {
            return refuse(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    "the answer can't be complete before the deadline; retry later or allow more time",
                    queuedMillis(spec, queue, nowMillis));
        }
        long limitWaitMillis = shares.tryAcquire(spec.account(), tokens, nowMillis);
        if (limitWaitMillis > 0) {
            return refuse(
                    ErrorCode.ACCOUNT_LIMIT,
                    "client account " + spec.account() + " is over its token limit; retry later",
                    limitWaitMillis);
        }
        Admitted entry = new Admitted(spec, tokens);
        admitted.put(spec.id(), entry);
        if (queue.waiting.size() == 0 && mayStart(spec.service(), nowMillis) > 0) {
            queue.waiting.charge(spec.account(), tokens, weight(spec.account()));
            entry.start(nowMillis);
            return new AdmissionDecision.Admitted();
        }
        queue.waiting.add(spec.account(), spec.id(), spec, tokens, weight(spec.account()));
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
        expired.forEach(this::forget);
        return expired;
    }

    @Override
    public void recordTokens(RequestId request, int tokens, long nowMillis) {
        Admitted entry = admitted.get(request);
        if (entry != null) {
            entry.tokens += tokens;
        }
    }

    @Override
    public void recordCompletion(RequestId request, boolean succeeded, long nowMillis) {
        Admitted entry = admitted.get(request);
        if (entry == null) {
            return;
        }
        ServiceQueue queue = queues.get(entry.spec.service());
        if (entry.startedAtMillis < 0) {
            queue.waiting.removeIf(spec -> spec.id().equals(request));
        } else {
            lengths.recordLength(entry.spec, entry.tokens);
            queue.rate.recordCompletion(entry.tokens, nowMillis - entry.startedAtMillis);
            // A failed request must earn no retry, else the budget grows while a service is down.
            if (succeeded) {
                queue.retries.recordSuccess();
            }
        }
        forget(request);
    }

    @Override
    public boolean tryAcquireRetry(RequestSpec spec, long nowMillis) {
        return queues.computeIfAbsent(spec.service(), _ -> new ServiceQueue())
                .retries
                .tryAcquire();
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>(shares.handle(event, nowMillis));
        queues.forEach((service, queue) -> release(service, queue, commands, nowMillis));
        return commands;
    }

    private void release(ServiceName service, ServiceQueue queue, List<Command> commands, long nowMillis) {
        if (queue.waiting.size() == 0) {
            return;
        }
        int free = mayStart(service, nowMillis);
        while (free > 0) {
            Optional<RequestSpec> next = queue.waiting.poll(_ -> true);
            if (next.isEmpty()) {
                return;
            }
            admitted.get(next.get().id()).start(nowMillis);
            commands.add(new Command.Raise(
                    new RequestEvent.AdmissionGranted(next.get().id())));
            free--;
        }
    }

    private long expectedWaitMillis(RequestSpec spec, ServiceQueue queue, long nowMillis) {
        if (queue.waiting.size() == 0 && mayStart(spec.service(), nowMillis) > 0) {
            return 0;
        }
        double before = queue.waiting.workBeforeIfBacklogsPersist(spec.account(), this::weight);
        return serviceMillis(spec, queue, before, nowMillis);
    }

    /** Returns the time in which the work is served that is queued now. */
    private long queuedMillis(RequestSpec spec, ServiceQueue queue, long nowMillis) {
        return serviceMillis(spec, queue, queue.waiting.workBefore(spec.account(), this::weight), nowMillis);
    }

    /** Returns the time in which this router's share of the slots serves some work. */
    private long serviceMillis(RequestSpec spec, ServiceQueue queue, double work, long nowMillis) {
        double slots = capacity.slotShare(spec.service(), sharers(spec.service()), nowMillis);
        return (long) (work * queue.rate.millisPerToken() / slots);
    }

    /** Returns the requests that may start now; 0 or less if this router uses its share of the slots. */
    private int mayStart(ServiceName service, long nowMillis) {
        double share = capacity.slotShare(service, sharers(service), nowMillis);
        return (int) Math.ceil(share) - capacity.localAttempts(service);
    }

    /** Returns the expected number of routers that use a target of this router's subset. */
    private double sharers(ServiceName service) {
        long all = configuration.targets().stream()
                .filter(target -> target.service().equals(service))
                .count();
        double subset = Math.min(1.0, (double) capacity.targetCount(service) / Math.max(1, all));
        return Math.max(1, membership.liveMembers().size() * subset);
    }

    private boolean cannotFinish(RequestSpec spec, ServiceQueue queue, long nowMillis) {
        double runMillis = admitted.get(spec.id()).predictedTokens * queue.rate.millisPerToken();
        return nowMillis + runMillis > spec.deadlineMillis();
    }

    private void forget(RequestId request) {
        Admitted entry = admitted.remove(request);
        if (entry != null) {
            shares.settle(entry.spec.account(), entry.predictedTokens, entry.tokens);
        }
    }

    private double weight(AccountId account) {
        return configuration.account(account).map(AccountSettings::weight).orElse(1.0);
    }

    /** Spreads the return of refused callers by 50% around the expected time, so that they don't return together. */
    private AdmissionDecision refuse(ErrorCode code, String detail, long expectedMillis) {
        long bounded = Math.clamp(expectedMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
        return new AdmissionDecision.Refused(code, detail, (long) (bounded * (0.5 + random.nextDouble())));
    }

    private static final class ServiceQueue {
        private final FairQueue<RequestSpec> waiting = new FairQueue<>();
        private final RetryBudget retries = new RetryBudget();
        private final ServiceTokenLatency rate = new ServiceTokenLatency();
    }

    private static final class Admitted {
        private final RequestSpec spec;
        private final double predictedTokens;
        private int tokens;
        private long startedAtMillis = -1;

        private Admitted(RequestSpec spec, double predictedTokens) {
            this.spec = spec;
            this.predictedTokens = predictedTokens;
        }

        private void start(long nowMillis) {
            startedAtMillis = nowMillis;
        }
    }
}
