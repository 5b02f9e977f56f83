package org.amaranthlock.coordination.contention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.admission.FairQueue;
import org.amaranthlock.model.AccountId;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Requests for one service that wait at a host until an engine has room.
 *
 * <p>An engine's own queue is short and cannot be reordered, so a request that would have to wait there behind another
 * prompt waits here. Requests are ordered by priority with ageing, then by client account with start-time fair
 * queueing, which also counts work that other hosts start. Within an account, returned clients come first, then
 * requests that can still meet their goal, then those with the least slack. Room is divided among the hosts by {@link
 * RoomShares}. Not thread-safe.
 *
 * @param <T> type of the caller's handle for a request
 */
public final class ServiceQueue<T> {
    /** Reason for rejecting a request that cannot be answered before its deadline. */
    public static final String HOPELESS = "hopeless";

    /** Time for which started work of an account is reported after its last request waited, in milliseconds. */
    private static final long STARTED_REPORT_MILLIS = 4_000;

    /** Weight of each account; the platform's configuration knows no others. */
    private static final double WEIGHT = 1;

    /** Time for which a host that receives no reports relies on the last ones, in milliseconds. */
    private static final long LAST_REPORTS_MILLIS = 30_000;

    /** Time for which a host must have received reports before it relies on the last ones, in milliseconds. */
    private static final long LEARNING_MILLIS = 2_000;

    /**
     * Fraction of the work recently started for the account with the most of it; an account with less is clearly under
     * its share.
     */
    private static final double CLEARLY_UNDER_SHARE = 0.25;

    /** Maximum part of its remaining time for which a client waits before it retries. */
    private static final double MAX_RETRY_FRACTION = 1.0 / 3;

    private final UniformRandomProvider random;
    private final FairQueue<Entry<T>> queue = new FairQueue<>();
    private final PeerBacklogs peers = new PeerBacklogs();
    private final Map<AccountId, Started> started = new HashMap<>();
    private final RecentStarts recentStarts = new RecentStarts();
    private final Map<AccountId, StartCredit> credits = new HashMap<>();
    private Optional<StartCredit> equalCredit = Optional.empty();
    private long creditedAtMillis;
    private boolean cutOff;
    private int hosts = 1;

    /**
     * Request that waits.
     *
     * @param item the caller's handle for it
     */
    public record Entry<T>(WaitingRequest request, T item) {}

    private record Started(double millis, long atMillis) {}

    /** Creates an empty queue that spreads retries with {@code random}. */
    public ServiceQueue(UniformRandomProvider random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns the verdict on a request that arrives; one that waits is then passed to {@link #add}. */
    public AdmissionVerdict decide(WaitingRequest request, ServiceRoom room, long nowMillis) {
        AdmissionVerdict verdict = preview(request, room, random, nowMillis);
        if (verdict instanceof AdmissionVerdict.Start && !allWaiting(nowMillis).isEmpty()) {
            // if nothing waits, no account's share is affected
            queue.charge(request.account(), request.prefillMillis(), WEIGHT);
            recordStarted(request, nowMillis);
        }
        return verdict;
    }

    /** Returns what {@link #decide} would return now, with a copy of its random generator; changes nothing. */
    public AdmissionVerdict preview(
            WaitingRequest request, ServiceRoom room, UniformRandomProvider copy, long nowMillis) {
        List<Backlog> waiting = allWaiting(nowMillis);
        double before = RoomShares.workBefore(waiting, request, nowMillis);
        double startsInMillis = room.waitMillis(request) + before / room.rate(request);
        if (!request.isUseful(nowMillis + startsInMillis)) {
            return turnAway(HOPELESS, request, startsInMillis, room, copy, nowMillis);
        }
        // A host that knows too little of the others, which see the same room, sends only from the queue.
        if (before == 0 && room.freeEngines(request.tokens()) > room.unseenPrompts() && !isWithoutReports(nowMillis)) {
            return new AdmissionVerdict.Start();
        }
        return new AdmissionVerdict.Wait(Math.round(startsInMillis));
    }

    /** Adds a request that waits. */
    public void add(WaitingRequest request, T item, long nowMillis) {
        if (queue.size() == 0) {
            creditedAtMillis = nowMillis;
        }
        credits.computeIfAbsent(request.account(), _ -> StartCredit.spread(random));
        queue.add(request.account(), new Entry<>(request, item), request.prefillMillis(), WEIGHT);
    }

    /** Removes a request, whose client has left, for example; does nothing if it does not wait. */
    public void remove(T item) {
        queue.removeIf(entry -> entry.item() == item);
    }

    /** Returns the number of requests that wait. */
    public int size() {
        return queue.size();
    }

    /**
     * Removes and returns the next request that is to be sent now; empty if none is.
     *
     * @param reportMillis time within which hosts receive each other's reports, in milliseconds
     */
    public Optional<T> startNext(ServiceRoom room, long reportMillis, long nowMillis) {
        if (queue.size() == 0) {
            return Optional.empty();
        }
        boolean alone = !cutOff
                && peersWaiting(nowMillis).isEmpty()
                && room.freeEngines(leastTokens(queue.items())) > room.unseenPrompts();
        if (!alone) {
            addCredit(room, reportMillis, nowMillis);
        }
        Optional<Entry<T>> next =
                pollMostUrgent(entry -> alone || credit(entry, nowMillis).suffices(), room, nowMillis);
        next.ifPresent(entry -> {
            credit(entry, nowMillis).use();
            recordStarted(entry.request(), nowMillis);
        });
        return next.map(Entry::item);
    }

    /** Removes and returns the requests that no engine can answer before their deadlines any more. */
    public Map<T, AdmissionVerdict.TurnAway> removeHopeless(ServiceRoom room, long nowMillis) {
        Map<T, AdmissionVerdict.TurnAway> removed = new HashMap<>();
        for (Entry<T> entry : queue.removeIf(entry -> !entry.request().isUseful(nowMillis))) {
            removed.put(
                    entry.item(),
                    turnAway(HOPELESS, entry.request(), room.waitMillis(entry.request()), room, nowMillis));
        }
        return removed;
    }

    /** Removes and returns all requests, because the host is shutting down. */
    public List<T> removeAll() {
        return queue.removeIf(_ -> true).stream().map(Entry::item).toList();
    }

    /** Applies the report of another host on this service. */
    public void updateRemote(String host, ServiceBacklog backlog, long madeAtMillis) {
        peers.update(host, backlog, madeAtMillis, (account, millis) -> {
            queue.chargeElsewhere(account, millis, WEIGHT);
            recentStarts.add(account, millis, madeAtMillis);
        });
    }

    /**
     * Updates whether this host receives no reports of the others. It then relies on their last reports or, if these are
     * too few or too old, uses an equal part of the room.
     *
     * @param allHosts number of hosts, including this one
     */
    public void updateCutOff(boolean isCutOff, int allHosts) {
        cutOff = isCutOff;
        hosts = Math.max(1, allHosts);
    }

    /** Returns the mean prefill time of the requests that wait at the other hosts; empty if none waits there. */
    public OptionalDouble meanRemotePrefillMillis(long nowMillis) {
        List<Backlog> waiting = peersWaiting(nowMillis);
        long requests = waiting.stream().mapToLong(Backlog::requests).sum();
        long millis = waiting.stream().mapToLong(Backlog::prefillMillis).sum();
        return requests == 0 ? OptionalDouble.empty() : OptionalDouble.of((double) millis / requests);
    }

    /** Returns the report of this host on this service. */
    public ServiceBacklog report(long nowMillis) {
        started.values().removeIf(entry -> nowMillis - entry.atMillis > STARTED_REPORT_MILLIS);
        Map<AccountId, Long> startedMillis = new HashMap<>();
        started.forEach((account, entry) -> startedMillis.put(account, Math.round(entry.millis)));
        return new ServiceBacklog(
                ownWaiting(nowMillis).stream().map(Backlog::rounded).toList(), startedMillis);
    }

    /** Returns this host's share of the room, from 0 to 1. */
    public double share(ServiceRoom room, long nowMillis) {
        double unit = Math.max(1, room.engines().size());
        return ownParts(unit, nowMillis).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum()
                / unit;
    }

    /** Returns the shares of the client accounts in the work that all hosts have recently started, from 0 to 1. */
    public Map<AccountId, Double> accountShares(long nowMillis) {
        Map<AccountId, Double> shares = new HashMap<>(recentStarts.millis(nowMillis));
        double all = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        shares.replaceAll((_, millis) -> millis / all);
        return shares;
    }

    /** Returns the verdict that rejects a request for the given reason, with a randomized retry delay. */
    public AdmissionVerdict.TurnAway turnAway(
            String reason, WaitingRequest request, double startsInMillis, ServiceRoom room, long nowMillis) {
        return turnAway(reason, request, startsInMillis, room, random, nowMillis);
    }

    /** Returns the rejection with a retry delay drawn from {@code generator}, for previews with a copy. */
    public AdmissionVerdict.TurnAway turnAway(
            String reason,
            WaitingRequest request,
            double startsInMillis,
            ServiceRoom room,
            UniformRandomProvider generator,
            long nowMillis) {
        // At most twice the expected wait, and no longer than clients wait before they retry.
        double longest = Math.max(0, request.deadlineMillis() - nowMillis) * MAX_RETRY_FRACTION;
        double retryAfter = Math.min(startsInMillis, longest / 2) * (1 + generator.nextDouble());
        return new AdmissionVerdict.TurnAway(
                reason,
                Math.round(retryAfter),
                Math.round(startsInMillis),
                queue.size(),
                share(room, nowMillis),
                accountShares(nowMillis).getOrDefault(request.account(), 0.0));
    }

    private Optional<Entry<T>> pollMostUrgent(Predicate<Entry<T>> hasCredit, ServiceRoom room, long nowMillis) {
        Predicate<Entry<T>> mayStart =
                hasCredit.and(entry -> room.freeEngines(entry.request().tokens()) > 0);
        return queue.items().stream()
                .filter(mayStart)
                .mapToInt(entry -> entry.request().effectivePriority(nowMillis))
                .min()
                .stream()
                .boxed()
                .findFirst()
                .flatMap(priority -> queue.poll(
                        entry -> mayStart.test(entry) && entry.request().effectivePriority(nowMillis) == priority,
                        order(nowMillis)));
    }

    private Comparator<Entry<T>> order(long nowMillis) {
        return Comparator.comparing(
                Entry::request,
                Comparator.comparing((WaitingRequest request) -> !request.returned())
                        .thenComparing(request -> request.slackMillis(nowMillis) < 0)
                        .thenComparing(request -> request.slackMillis(nowMillis)));
    }

    /** Adds this host's part of the room for each account; an account for which there is no room loses its credit. */
    private void addCredit(ServiceRoom room, long reportMillis, long nowMillis) {
        Map<AccountId, List<Entry<T>>> accounts = queue.items().stream()
                .collect(Collectors.groupingBy(entry -> entry.request().account()));
        credits.keySet().retainAll(accounts.keySet());
        double meanMillis = queue.queuedWork() / queue.size();
        double free = room.freeEngines(leastTokens(queue.items()));
        // Without reports, room is assumed to become free once per prefill.
        double periodMillis = cutOff ? meanMillis : Math.max(1, reportMillis);
        long passedMillis = Math.max(0, nowMillis - creditedAtMillis);
        double passed = Math.min(1, passedMillis / periodMillis);
        creditedAtMillis = nowMillis;
        if (isWithoutReports(nowMillis)) {
            equalCredit().add(free / hosts, passed);
            return;
        }
        if (cutOff) {
            accounts.forEach((account, entries) -> addCreditAtLastPace(account, entries, passedMillis, nowMillis));
            return;
        }
        if (peersWaiting(nowMillis).isEmpty()) {
            free *= queue.size() / (queue.size() + room.unseenPrompts()); // hosts without a queue compete, too
        }
        Map<AccountId, Double> parts = ownParts(free * meanMillis, nowMillis);
        accounts.forEach((account, entries) -> {
            if (room.freeEngines(leastTokens(entries)) == 0) {
                credits.get(account).clear();
            } else {
                credits.get(account).add(parts.getOrDefault(account, 0.0) / meanPrefillMillis(entries), passed);
            }
        });
    }

    /**
     * Adds credit at the pace at which requests of the account were started when the last reports arrived, so that they
     * wait as long as the others do. Requests of an account that was clearly under its share do not wait.
     */
    private void addCreditAtLastPace(AccountId account, List<Entry<T>> entries, long passedMillis, long nowMillis) {
        long elsewhere = peersWaiting(nowMillis).stream()
                .filter(backlog -> backlog.account().equals(account))
                .mapToLong(Backlog::requests)
                .sum();
        Map<AccountId, Double> recent = recentStarts.millis(peers.newestMillis());
        double started = recent.getOrDefault(account, 0.0);
        double mostStarted =
                recent.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
        if (elsewhere == 0 || started < CLEARLY_UNDER_SHARE * mostStarted) {
            credits.get(account).addAll(entries.size());
            return;
        }
        double starts = Math.max(1, started / meanPrefillMillis(entries));
        credits.get(account)
                .add(starts * entries.size() / (entries.size() + elsewhere), passedMillis / RecentStarts.DECAY_MILLIS);
    }

    /** Returns whether too little is known of the other hosts, as after a restart of all of them. */
    private boolean isWithoutReports(long nowMillis) {
        return cutOff
                && (peers.knownForMillis() < LEARNING_MILLIS || nowMillis - peers.newestMillis() > LAST_REPORTS_MILLIS);
    }

    /** Returns what waits at the other hosts or, if they cannot be heard, waited there when they last were. */
    private List<Backlog> peersWaiting(long nowMillis) {
        return peers.waiting(cutOff ? peers.newestMillis() : nowMillis);
    }

    /** Returns the credit that a request uses: its account's, or a common one if too little is known of other hosts. */
    private StartCredit credit(Entry<T> entry, long nowMillis) {
        return isWithoutReports(nowMillis)
                ? equalCredit()
                : credits.get(entry.request().account());
    }

    /** Returns the credit of a host without reports; drawn when it is first needed. */
    private StartCredit equalCredit() {
        if (equalCredit.isEmpty()) {
            equalCredit = Optional.of(StartCredit.regular(random));
        }
        return equalCredit.get();
    }

    private Map<AccountId, Double> ownParts(double room, long nowMillis) {
        List<Backlog> own = ownWaiting(nowMillis);
        Map<AccountId, Double> recent = recentStarts.millis(nowMillis);
        return isWithoutReports(nowMillis)
                ? RoomShares.ownParts(own, List.of(), recent, room / hosts)
                : RoomShares.ownParts(own, peersWaiting(nowMillis), recent, room);
    }

    private static <T> long leastTokens(List<Entry<T>> entries) {
        return entries.stream()
                .mapToLong(entry -> entry.request().tokens())
                .min()
                .orElse(0);
    }

    private static <T> double meanPrefillMillis(List<Entry<T>> entries) {
        return entries.stream()
                .mapToDouble(entry -> entry.request().prefillMillis())
                .average()
                .orElse(1);
    }

    private List<Backlog> allWaiting(long nowMillis) {
        List<Backlog> waiting = new ArrayList<>(ownWaiting(nowMillis));
        waiting.addAll(peersWaiting(nowMillis));
        return waiting;
    }

    private List<Backlog> ownWaiting(long nowMillis) {
        Map<Integer, Map<AccountId, List<WaitingRequest>>> groups = new TreeMap<>();
        for (Entry<T> entry : queue.items()) {
            WaitingRequest request = entry.request();
            groups.computeIfAbsent(request.effectivePriority(nowMillis), _ -> new TreeMap<>())
                    .computeIfAbsent(request.account(), _ -> new ArrayList<>())
                    .add(request);
        }
        List<Backlog> waiting = new ArrayList<>();
        groups.forEach((priority, accounts) -> accounts.forEach((account, requests) -> waiting.add(new Backlog(
                priority,
                account,
                requests.size(),
                Math.round(requests.stream()
                        .mapToDouble(WaitingRequest::prefillMillis)
                        .sum()),
                requests.stream()
                        .mapToLong(request -> request.slackMillis(nowMillis))
                        .min()
                        .orElseThrow()))));
        return waiting;
    }

    private void recordStarted(WaitingRequest request, long nowMillis) {
        started.merge(
                request.account(),
                new Started(request.prefillMillis(), nowMillis),
                (before, added) -> new Started(before.millis + added.millis, nowMillis));
        if (!cutOff) { // otherwise the last pace of all hosts is kept
            recentStarts.add(request.account(), request.prefillMillis(), nowMillis);
        }
    }
}
