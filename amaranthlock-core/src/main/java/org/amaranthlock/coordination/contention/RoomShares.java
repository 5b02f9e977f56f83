package org.amaranthlock.coordination.contention;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.amaranthlock.model.AccountId;

/**
 * Shares of hosts and client accounts in the engines' room, which is their free capacity in prefill time.
 *
 * <p>All hosts compute them from the same reports. Higher priorities are served first; within a priority, room goes
 * first to the accounts for which the least was started recently. The share of an account is divided among the hosts in
 * proportion to its backlogs there.
 */
final class RoomShares {
    private RoomShares() {}

    /**
     * Returns the part of the room that a host may use for each account, in milliseconds of prefill time.
     *
     * @param own work that waits at this host
     * @param others work that waits at the other hosts
     * @param recent prefill time that all hosts have recently started for each account, in milliseconds
     * @param room room of the engines, in milliseconds of prefill time
     */
    static Map<AccountId, Double> ownParts(
            Collection<Backlog> own, Collection<Backlog> others, Map<AccountId, Double> recent, double room) {
        Map<Integer, Map<AccountId, Double>> ownWork = byPriority(own);
        Map<Integer, Map<AccountId, Double>> otherWork = byPriority(others);
        TreeMap<Integer, Map<AccountId, Double>> all = new TreeMap<>();
        List.of(ownWork, otherWork)
                .forEach(work -> work.forEach((priority, accounts) -> accounts.forEach((account, millis) ->
                        all.computeIfAbsent(priority, _ -> new HashMap<>()).merge(account, millis, Double::sum))));
        double left = room;
        Map<AccountId, Double> parts = new HashMap<>();
        for (Map.Entry<Integer, Map<AccountId, Double>> work : all.entrySet()) {
            Map<AccountId, Double> ownAccounts = ownWork.getOrDefault(work.getKey(), Map.of());
            Map<AccountId, Double> given = divide(work.getValue(), recent, left);
            for (Map.Entry<AccountId, Double> account : given.entrySet()) {
                left -= account.getValue();
                double accountWork = ownAccounts.getOrDefault(account.getKey(), 0.0);
                double part = account.getValue() * accountWork / work.getValue().get(account.getKey());
                parts.merge(account.getKey(), part, Double::sum);
            }
        }
        return parts;
    }

    /**
     * Divides room among accounts so that what they were given recently and now becomes as equal as possible; no account
     * gets more than the work that it has waiting.
     */
    static Map<AccountId, Double> divide(Map<AccountId, Double> waiting, Map<AccountId, Double> recent, double room) {
        double level = level(waiting, recent, Math.max(0, room));
        Map<AccountId, Double> given = new HashMap<>();
        waiting.forEach((account, work) ->
                given.put(account, Math.clamp(level - recent.getOrDefault(account, 0.0), 0, work)));
        return given;
    }

    /** Returns the level up to which all accounts are filled so that the room is used up, if there is enough work. */
    private static double level(Map<AccountId, Double> waiting, Map<AccountId, Double> recent, double room) {
        TreeMap<Double, Integer> changes = new TreeMap<>();
        waiting.forEach((account, work) -> {
            double floor = recent.getOrDefault(account, 0.0);
            changes.merge(floor, 1, Integer::sum);
            changes.merge(floor + work, -1, Integer::sum);
        });
        double level = changes.isEmpty() ? 0 : changes.firstKey();
        double left = room;
        int rising = 0;
        for (Map.Entry<Double, Integer> change : changes.entrySet()) {
            double step = change.getKey() - level;
            if (rising * step > left) {
                return level + left / rising;
            }
            left -= rising * step;
            level = change.getKey();
            rising += change.getValue();
        }
        return level;
    }

    /**
     * Returns the work that is started before a new request, in milliseconds of prefill time: all that is more urgent
     * and, of each account with work of the same priority, as much as the request's own account has up to the end of
     * the request. Accounts with a backlog are expected to send more requests.
     */
    static double workBefore(Collection<Backlog> waiting, WaitingRequest request, long nowMillis) {
        int priority = request.effectivePriority(nowMillis);
        Map<Integer, Map<AccountId, Double>> work = byPriority(waiting);
        double moreUrgent = work.entrySet().stream()
                .filter(entry -> entry.getKey() < priority)
                .flatMap(entry -> entry.getValue().values().stream())
                .mapToDouble(Double::doubleValue)
                .sum();
        Map<AccountId, Double> equal = work.getOrDefault(priority, Map.of());
        double own = equal.getOrDefault(request.account(), 0.0);
        long others = equal.keySet().stream()
                .filter(account -> !account.equals(request.account()))
                .count();
        return moreUrgent + own + others * (own + request.prefillMillis());
    }

    private static Map<Integer, Map<AccountId, Double>> byPriority(Collection<Backlog> backlogs) {
        Map<Integer, Map<AccountId, Double>> work = new HashMap<>();
        for (Backlog backlog : backlogs) {
            // A backlog of no measurable work still waits for its turn.
            work.computeIfAbsent(backlog.priority(), _ -> new HashMap<>())
                    .merge(backlog.account(), Math.max(1.0, backlog.prefillMillis()), Double::sum);
        }
        return work;
    }
}
