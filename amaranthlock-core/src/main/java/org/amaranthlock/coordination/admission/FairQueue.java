package org.amaranthlock.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;

/**
 * Queue that serves client accounts in proportion to their weights, measured in predicted work.
 *
 * <p>Implements start-time fair queueing: the virtual time of an account advances by predicted work divided by weight,
 * and the account with the lowest virtual time is served next. An account that was idle starts at the current virtual
 * time, so it cannot accumulate credit. Work that other hosts start for an account counts as if it had been started
 * here. Not thread-safe.
 *
 * @param <T> type of the queued items
 */
public final class FairQueue<T> {
    private final Map<AccountId, AccountQueue<T>> accounts = new LinkedHashMap<>();
    private double virtualTime;
    private int size;
    private double queuedWork;

    /**
     * Adds an item.
     *
     * @param work predicted work, greater than 0
     * @param weight weight of the account, greater than 0
     */
    public void add(AccountId account, T item, double work, double weight) {
        Arguments.require(work > 0 && weight > 0, "work and weight must be positive: " + work + ", " + weight);
        AccountQueue<T> queue = accounts.computeIfAbsent(account, _ -> new AccountQueue<>());
        if (queue.entries.isEmpty()) {
            queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
        }
        queue.weight = weight;
        queue.entries.addLast(new Entry<>(item, work));
        size++;
        queuedWork += work;
    }

    /** Removes and returns the first item of the next account in fair order whose first item can start. */
    public Optional<T> poll(Predicate<T> canStart) {
        return pollNext(
                queue -> Optional.ofNullable(queue.entries.peekFirst()).filter(entry -> canStart.test(entry.item)));
    }

    /**
     * Removes and returns, of the next account in fair order that has items which can start, the first of these in
     * {@code order}.
     */
    public Optional<T> poll(Predicate<T> canStart, Comparator<T> order) {
        return pollNext(queue -> queue.entries.stream()
                .filter(entry -> canStart.test(entry.item))
                .min(Comparator.comparing(Entry::item, order)));
    }

    private Optional<T> pollNext(Function<AccountQueue<T>, Optional<Entry<T>>> candidate) {
        AccountQueue<T> next = null;
        Entry<T> first = null;
        for (AccountQueue<T> queue : accounts.values()) {
            if (next == null || queue.virtualTime < next.virtualTime) {
                Optional<Entry<T>> found = candidate.apply(queue);
                if (found.isPresent()) {
                    next = queue;
                    first = found.get();
                }
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        next.entries.remove(first);
        virtualTime = Math.max(virtualTime, next.virtualTime);
        next.virtualTime += first.work / next.weight;
        recordRemoval(first);
        dropIdleAccounts();
        return Optional.of(first.item);
    }

    /** Returns the items of all accounts. */
    public List<T> items() {
        return accounts.values().stream()
                .flatMap(queue -> queue.entries.stream())
                .map(Entry::item)
                .toList();
    }

    /**
     * Charges an account for work that another host has started. The virtual time does not stay behind that of the
     * accounts that wait, so that an account which was idle gets no credit for what others were given elsewhere.
     */
    public void chargeElsewhere(AccountId account, double work, double weight) {
        double start = Math.max(virtualTime, accounts.containsKey(account) ? accounts.get(account).virtualTime : 0);
        charge(account, work, weight);
        double leastWaiting = accounts.values().stream()
                .filter(queue -> !queue.entries.isEmpty())
                .mapToDouble(queue -> queue.virtualTime)
                .min()
                .orElse(start);
        virtualTime = Math.max(virtualTime, Math.min(start, leastWaiting));
        dropIdleAccounts();
    }

    /** Charges an account for work that started without queueing, so that it counts towards the account's share. */
    public void charge(AccountId account, double work, double weight) {
        AccountQueue<T> queue = accounts.computeIfAbsent(account, _ -> new AccountQueue<>());
        queue.virtualTime = Math.max(queue.virtualTime, virtualTime) + work / weight;
        queue.weight = weight;
    }

    /** Removes and returns the items that match a condition. */
    public List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>();
        for (AccountQueue<T> queue : accounts.values()) {
            Iterator<Entry<T>> entries = queue.entries.iterator();
            while (entries.hasNext()) {
                Entry<T> entry = entries.next();
                if (condition.test(entry.item)) {
                    entries.remove();
                    recordRemoval(entry);
                    removed.add(entry.item);
                }
            }
        }
        return removed;
    }

    /** Returns the number of queued items. */
    public int size() {
        return size;
    }

    /** Returns the predicted work of all queued items. */
    public double queuedWork() {
        return queuedWork;
    }

    /** Returns the queued work that is served before a new item of an account. */
    double workBefore(AccountId account, ToDoubleFunction<AccountId> weights) {
        return Math.min(queuedWork, workBeforeIfBacklogsPersist(account, weights));
    }

    /**
     * Returns the work that is served before a new item of an account if accounts with a backlog continue to add items.
     *
     * <p>An account that received more service than the others waits until they have caught up, so their work counts up
     * to the virtual start time of the new item, including work that has not arrived yet.
     */
    double workBeforeIfBacklogsPersist(AccountId account, ToDoubleFunction<AccountId> weights) {
        AccountQueue<T> queue = accounts.get(account);
        double virtualStart = virtualTime;
        double workBefore = 0;
        if (queue != null) {
            workBefore = queue.queuedWork();
            virtualStart = Math.max(virtualTime, queue.virtualTime) + workBefore / weights.applyAsDouble(account);
        }
        for (Map.Entry<AccountId, AccountQueue<T>> entry : accounts.entrySet()) {
            AccountQueue<T> other = entry.getValue();
            if (!entry.getKey().equals(account) && !other.entries.isEmpty()) {
                workBefore += Math.max(0, virtualStart - other.virtualTime) * other.weight;
            }
        }
        return workBefore;
    }

    private void recordRemoval(Entry<T> entry) {
        size--;
        queuedWork = size == 0 ? 0 : queuedWork - entry.work;
    }

    private void dropIdleAccounts() {
        accounts.values().removeIf(queue -> queue.entries.isEmpty() && queue.virtualTime <= virtualTime);
    }

    private static final class AccountQueue<T> {
        private final Deque<Entry<T>> entries = new ArrayDeque<>();
        private double virtualTime;
        private double weight = 1;

        private double queuedWork() {
            return entries.stream().mapToDouble(entry -> entry.work).sum();
        }
    }

    private record Entry<T>(T item, double work) {}
}
