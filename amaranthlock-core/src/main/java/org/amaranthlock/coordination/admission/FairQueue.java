package org.amaranthlock.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.RequestId;

/**
 * Queue that serves client accounts in proportion to their weights, measured in predicted work.
 *
 * <p>Implements start-time fair queueing: the virtual time of an account advances by predicted work divided by weight,
 * and the account with the lowest virtual time is served next. An account that was idle starts at the current virtual
 * time, so it cannot accumulate credit. Not thread-safe.
 *
 * @param <T> type of the queued items
 */
final class FairQueue<T> {
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
    void add(AccountId account, RequestId id, T item, double work, double weight) {
        Arguments.require(work > 0 && weight > 0, "work and weight must be positive: " + work + ", " + weight);
        AccountQueue<T> queue = accounts.computeIfAbsent(account, _ -> new AccountQueue<>());
        if (queue.entries.isEmpty()) {
            queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
        }
        queue.weight = weight;
        queue.entries.addLast(new Entry<>(id, item, work));
        size++;
        queuedWork += work;
    }

    /** Removes and returns the first item of the next account in fair order whose first item can start. */
    Optional<T> poll(Predicate<T> canStart) {
        AccountQueue<T> next = null;
        for (AccountQueue<T> queue : accounts.values()) {
            boolean eligible = !queue.entries.isEmpty() && canStart.test(queue.entries.peekFirst().item);
            if (eligible && (next == null || queue.virtualTime < next.virtualTime)) {
                next = queue;
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        Entry<T> entry = next.entries.removeFirst();
        virtualTime = Math.max(virtualTime, next.virtualTime);
        next.virtualTime += entry.work / next.weight;
        recordRemoval(entry);
        dropIdleAccounts();
        return Optional.of(entry.item);
    }

    /** Charges an account for work that started without queueing, so that it counts towards the account's share. */
    void charge(AccountId account, double work, double weight) {
        AccountQueue<T> queue = accounts.computeIfAbsent(account, _ -> new AccountQueue<>());
        queue.virtualTime = Math.max(queue.virtualTime, virtualTime) + work / weight;
        queue.weight = weight;
    }

    /** Removes and returns the items that match a condition. */
    List<T> removeIf(Predicate<T> condition) {
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

    int size() {
        return size;
    }

    /** Returns the predicted work of all queued items. */
    double queuedWork() {
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

    private record Entry<T>(RequestId id, T item, double work) {}
}
