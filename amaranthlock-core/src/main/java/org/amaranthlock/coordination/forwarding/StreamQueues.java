package org.amaranthlock.coordination.forwarding;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntSupplier;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.contention.ClientWaits;
import org.amaranthlock.coordination.contention.ContentionListener;
import org.amaranthlock.coordination.contention.RequestRank;
import org.amaranthlock.coordination.contention.ServiceBacklog;
import org.amaranthlock.coordination.contention.ServiceQueue;
import org.amaranthlock.coordination.contention.ServiceRoom;
import org.amaranthlock.coordination.contention.WaitingRequest;
import org.amaranthlock.coordination.contention.WaitingWork;
import org.amaranthlock.coordination.estimate.GenerationEstimates;
import org.amaranthlock.coordination.estimate.PrefillEstimates;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Streams that wait at this host for room in the engines, by service.
 *
 * <p>Load pattern: demand exceeds the capacity of the engines while some of them fail. The load of the engines is kept
 * by {@link TargetLoadBalancer}; this class adds the waiting streams. Not thread-safe.
 */
public final class StreamQueues {
    /** Reason for rejecting streams that wait at a host that is shutting down. */
    public static final String DRAINING = "draining";

    /** Interval of the checks for room while streams wait, in milliseconds. */
    private static final long CHECK_MILLIS = 20;

    /** Maximum number of streams over which the checks are spread, so that the last of many is still checked in time. */
    private static final int MAX_CHECKING = 10;

    /** Interval at which the shares are passed to the listener, in milliseconds. */
    private static final long SHARES_MILLIS = 1_000;

    /** Maximum time assumed until hosts receive each other's reports, in milliseconds. */
    private static final long MAX_REPORT_MILLIS = 500;

    /** Weight of a report in the average age of reports. */
    private static final double AGE_WEIGHT = 0.05;

    /** Account of requests without a known account, and of all requests if accounts have no shares. */
    private static final AccountId NO_ACCOUNT = new AccountId("-");

    private final TargetLoadBalancer loadBalancer;
    private final PrefillEstimates prefillEstimates;
    private final GenerationEstimates generationEstimates = new GenerationEstimates();
    private final ClientWaits clientWaits = new ClientWaits();
    private final Mechanisms mechanisms;
    private final IntSupplier hostCount;
    private final UniformRandomProvider random;
    private final ContentionListener listener;
    private final Map<ServiceName, Waiting> services = new HashMap<>();
    private double averageAgeMillis;
    private boolean draining;

    /** Queue of one service, with the definition that its last stream had; null before the first one. */
    private static final class Waiting {
        private final ServiceQueue<QueuedStream> queue;
        private final Map<QueuedStream, Long> since = new LinkedHashMap<>();
        private ServiceDefinition service;
        private long checkedAtMillis = Long.MIN_VALUE / 2;
        private long sharesReportedAtMillis = Long.MIN_VALUE / 2;
        private boolean sharesReported;

        Waiting(ServiceQueue<QueuedStream> queue) {
            this.queue = queue;
        }
    }

    /**
     * Creates empty queues.
     *
     * @param hostCount returns the number of registered hosts, including this one
     */
    public StreamQueues(
            TargetLoadBalancer loadBalancer,
            PrefillEstimates prefillEstimates,
            Mechanisms mechanisms,
            IntSupplier hostCount,
            UniformRandomProvider random,
            ContentionListener listener) {
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.prefillEstimates = Objects.requireNonNull(prefillEstimates, "prefill estimates");
        this.mechanisms = Objects.requireNonNull(mechanisms, "mechanisms");
        this.hostCount = Objects.requireNonNull(hostCount, "host count");
        this.random = Objects.requireNonNull(random, "random");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns whether streams of a service may wait at this host under a configuration. */
    public boolean applyTo(ServiceDefinition service, EntryConfiguration configuration) {
        return service.engine()
                && mechanisms.uses(Mechanism.HOST_QUEUE)
                && configuration.hasUnequalRequests(service.name());
    }

    /** Returns the properties that determine the place of a stream in the queue. */
    WaitingRequest describe(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<AccountId> account,
            RequestRank rank,
            long deadlineMillis,
            long nowMillis) {
        long waitedMillis = clientWaits.sinceFirstAttemptMillis(route.name(), attributes.timeLeftMillis());
        return describe(attributes, route, service, account, rank, deadlineMillis, waitedMillis, nowMillis);
    }

    private WaitingRequest describe(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<AccountId> account,
            RequestRank rank,
            long deadlineMillis,
            long waitedMillis,
            long nowMillis) {
        AccountId owner = account(account);
        return new WaitingRequest(
                owner,
                rank,
                waitedMillis * 4 >= route.latencyGoalMillis(), // a client that retries at once has not waited
                nowMillis - waitedMillis,
                Math.max(1, route.latencyGoalMillis()),
                deadlineMillis,
                Math.max(1, prefillMillis(service, attributes, nowMillis)),
                generationEstimates
                        .usualMinMillis(route.name(), owner, attributes.lengthHint())
                        .orElse(0.0),
                attributes.tokens());
    }

    /** Records that an answer took {@code millis} from its first event to its end. */
    void recordGeneration(RequestAttributes attributes, Route route, Optional<AccountId> account, long millis) {
        generationEstimates.record(route.name(), account(account), attributes.lengthHint(), millis);
    }

    /** Decides on a stream that arrives, and adds it to the queue if it has to wait. */
    AdmissionVerdict arrive(QueuedStream stream, ServiceDefinition service, long nowMillis) {
        Waiting waiting = waiting(service.name());
        waiting.service = service;
        ServiceRoom room = room(service, nowMillis);
        if (room.engines().isEmpty()) { // the request is rejected when no target can be chosen
            return new AdmissionVerdict.Start();
        }
        updateCutOff(waiting.queue);
        AdmissionVerdict verdict = waiting.queue.decide(stream.request(), room, nowMillis);
        if (verdict instanceof AdmissionVerdict.Wait wait && draining) {
            verdict = waiting.queue.turnAway(DRAINING, stream.request(), wait.startsInMillis(), room, nowMillis);
        }
        switch (verdict) {
            case AdmissionVerdict.Start _ -> {}
            case AdmissionVerdict.Wait wait -> {
                waiting.queue.add(stream.request(), stream, nowMillis);
                waiting.since.put(stream, nowMillis);
                listener.onQueued(service.name(), stream.id(), stream.request(), wait);
            }
            case AdmissionVerdict.TurnAway away ->
                listener.onTurnedAway(service.name(), stream.id(), stream.request(), away);
        }
        return verdict;
    }

    /** Returns what {@link #arrive} would decide on a request now, with a copy of the random generator; adds nothing. */
    AdmissionVerdict preview(
            RequestAttributes attributes,
            Route route,
            ServiceDefinition service,
            Optional<AccountId> account,
            RequestRank rank,
            long deadlineMillis,
            UniformRandomProvider copy,
            long nowMillis) {
        ServiceQueue<QueuedStream> queue = existingQueue(service.name());
        ServiceRoom room = room(service, nowMillis);
        if (room.engines().isEmpty()) {
            return new AdmissionVerdict.Start();
        }
        updateCutOff(queue);
        long waitedMillis = clientWaits.previewMillis(route.name(), attributes.timeLeftMillis());
        WaitingRequest request =
                describe(attributes, route, service, account, rank, deadlineMillis, waitedMillis, nowMillis);
        AdmissionVerdict verdict = queue.preview(request, room, copy, nowMillis);
        return verdict instanceof AdmissionVerdict.Wait wait && draining
                ? queue.turnAway(DRAINING, request, wait.startsInMillis(), room, copy, nowMillis)
                : verdict;
    }

    /** Returns the number of streams of a service that wait at this host. */
    int length(ServiceName service) {
        return existingQueue(service).size();
    }

    /** Returns this host's share of the engines' room, from 0 to 1. */
    double share(ServiceDefinition service, long nowMillis) {
        return existingQueue(service.name()).share(room(service, nowMillis), nowMillis);
    }

    /** Removes a stream that has ended while it waited. */
    void leave(QueuedStream stream, ServiceDefinition service, String cause, long nowMillis) {
        Waiting waiting = services.get(service.name());
        if (waiting != null && waiting.since.containsKey(stream)) {
            waiting.queue.remove(stream);
            recordLeft(waiting, stream, cause, nowMillis);
        }
    }

    /** Returns when a stream that waits is to call {@link #check} again; a few together call it at a constant rate. */
    long nextCheckMillis(ServiceDefinition service, long nowMillis) {
        return nowMillis
                + CHECK_MILLIS * Math.clamp(services.get(service.name()).since.size(), 1, MAX_CHECKING);
    }

    /** Starts the streams of a service for which there is room, and rejects those that cannot meet their deadline. */
    void check(ServiceName service, long nowMillis) {
        Waiting waiting = services.get(service);
        if (waiting == null || waiting.queue.size() == 0 || nowMillis - waiting.checkedAtMillis < CHECK_MILLIS / 2) {
            return;
        }
        waiting.checkedAtMillis = nowMillis;
        updateCutOff(waiting.queue);
        ServiceRoom room = room(waiting.service, nowMillis);
        waiting.queue
                .removeHopeless(room, nowMillis)
                .forEach((stream, away) -> turnAway(waiting, stream, away, nowMillis));
        boolean noEngine = room.engines().isEmpty() || loadBalancer.shouldRelay(service, nowMillis);
        while (waiting.queue.size() > 0) {
            // without a reachable engine, waiting is useless: the request is rejected or handed over
            Optional<QueuedStream> next = noEngine
                    ? waiting.since.keySet().stream().findFirst()
                    : waiting.queue.startNext(room(waiting.service, nowMillis), reportMillis(), nowMillis);
            if (next.isEmpty()) {
                return;
            }
            waiting.queue.remove(next.get());
            recordLeft(waiting, next.get(), "start", nowMillis);
            next.get().onStart(nowMillis);
        }
    }

    /** Returns the backlogs for the report of this host. */
    public WaitingWork report(long nowMillis) {
        Map<ServiceName, ServiceBacklog> backlogs = new HashMap<>();
        services.forEach((service, waiting) -> {
            reportShares(waiting, nowMillis);
            ServiceBacklog backlog = waiting.queue.report(nowMillis);
            if (!backlog.isEmpty()) {
                backlogs.put(service, backlog);
            }
        });
        return new WaitingWork(backlogs);
    }

    /** Applies the report of another host. */
    public void updateRemote(String host, WaitingWork work, long madeAtMillis, long nowMillis) {
        averageAgeMillis += AGE_WEIGHT * (Math.max(0, nowMillis - madeAtMillis) - averageAgeMillis);
        work.services().keySet().forEach(this::waiting); // the first stream here competes with what waits elsewhere
        services.forEach((service, waiting) -> waiting.queue.updateRemote(
                host, work.services().getOrDefault(service, ServiceBacklog.EMPTY), madeAtMillis));
    }

    /** Rejects the waiting streams, because this host is shutting down, and accepts no more. */
    public void drain(long nowMillis) {
        draining = true;
        for (Waiting waiting : services.values()) {
            if (waiting.queue.size() == 0) {
                continue;
            }
            ServiceRoom room = room(waiting.service, nowMillis);
            for (QueuedStream stream : waiting.queue.removeAll()) {
                turnAway(
                        waiting,
                        stream,
                        waiting.queue.turnAway(DRAINING, stream.request(), 0, room, nowMillis),
                        nowMillis);
            }
        }
    }

    private void reportShares(Waiting waiting, long nowMillis) {
        boolean waits = waiting.queue.size() > 0;
        if (!(waits || waiting.sharesReported) || nowMillis - waiting.sharesReportedAtMillis < SHARES_MILLIS) {
            return;
        }
        waiting.sharesReportedAtMillis = nowMillis;
        waiting.sharesReported = waits;
        listener.onShares(
                waiting.service.name(),
                waiting.queue.size(),
                waiting.queue.share(room(waiting.service, nowMillis), nowMillis),
                waiting.queue.accountShares(nowMillis));
    }

    private void turnAway(Waiting waiting, QueuedStream stream, AdmissionVerdict.TurnAway away, long nowMillis) {
        recordLeft(waiting, stream, away.reason(), nowMillis);
        listener.onTurnedAway(waiting.service.name(), stream.id(), stream.request(), away);
        stream.onTurnedAway(away, nowMillis);
    }

    private void recordLeft(Waiting waiting, QueuedStream stream, String cause, long nowMillis) {
        long waitedMillis = nowMillis - waiting.since.remove(stream);
        listener.onLeft(waiting.service.name(), stream.id(), stream.request(), cause, waitedMillis);
    }

    /** Returns the room of the engines; those of a failing domain count only if there are no others. */
    private ServiceRoom room(ServiceDefinition service, long nowMillis) {
        List<CandidateLoad> usable = loadBalancer.usableLoads(service, TargetConstraint.NONE, nowMillis);
        List<CandidateLoad> sound =
                usable.stream().filter(engine -> !engine.suspect()).toList();
        List<ServiceRoom.Engine> engines = (sound.isEmpty() ? usable : sound)
                .stream()
                        .map(engine -> new ServiceRoom.Engine(
                                engine.inFlight().prefilling(), service.freeTokens(engine.inFlight())))
                        .toList();
        return new ServiceRoom(engines, service.kvCacheTokens(), loadBalancer.expectedUnseenPlacements(nowMillis));
    }

    private Waiting waiting(ServiceName service) {
        return services.computeIfAbsent(service, _ -> new Waiting(new ServiceQueue<>(random)));
    }

    /** Returns the queue of a service; one that is not kept if there is none yet. */
    private ServiceQueue<QueuedStream> existingQueue(ServiceName service) {
        Waiting waiting = services.get(service);
        return waiting != null ? waiting.queue : new ServiceQueue<>(random);
    }

    /**
     * Returns the predicted prefill time; as long as none is known, that of the streams which wait at other hosts, or a
     * typical one.
     */
    private double prefillMillis(ServiceDefinition service, RequestAttributes attributes, long nowMillis) {
        OptionalLong millis = prefillEstimates.minPrefillMillis(
                service.name(),
                attributes.lastPromptPart().map(PromptPart::tokens).orElse(0L));
        return millis.isPresent()
                ? millis.getAsLong()
                : existingQueue(service.name())
                        .meanRemotePrefillMillis(nowMillis)
                        .orElse(FleetView.UNKNOWN_MILLIS);
    }

    private AccountId account(Optional<AccountId> account) {
        return mechanisms.uses(Mechanism.ACCOUNT_SHARES) ? account.orElse(NO_ACCOUNT) : NO_ACCOUNT;
    }

    private void updateCutOff(ServiceQueue<QueuedStream> queue) {
        queue.updateCutOff(hostCount.getAsInt() > 1 && loadBalancer.hostCount() == 1, hostCount.getAsInt());
    }

    /**
     * Returns the time within which hosts receive reports of each other's streams: the report interval and the transit.
     */
    private long reportMillis() {
        return Math.min(MAX_REPORT_MILLIS, CHECK_MILLIS + Math.round(2 * averageAgeMillis));
    }
}
