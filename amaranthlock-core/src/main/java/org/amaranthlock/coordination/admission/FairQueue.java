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
 * Queue that serves client accounts by weighted fair shares of predicted work.
 *
 * <p>Start-time fair queueing: every account has a virtual time that advances by predicted work divided by weight, and
 * the account with the lowest virtual time is served next. An account that was idle starts at the present virtual
 * time, so it cannot save up service. Not thread-safe.
 *
 * @param <T> what is queued
 */
final class FairQueue<T> {
    private final Map<AccountId, AccountQueue<T>> accounts = new LinkedHashMap<>();
    private double virtualTime;
    private int size;
    private double queuedWork;

    /**
     * Adds an item.
     *
     * @param work predicted work, more than 0
     * @param weight weight of the account, more than 0
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

    /** Removes and returns the first item of the account that is to be served next and whose head may start. */
    Optional<T> poll(Predicate<T> mayStart) {
        AccountQueue<T> next = null;
        for (AccountQueue<T> queue : accounts.values()) {
            boolean eligible = !queue.entries.isEmpty() && mayStart.test(queue.entries.peekFirst().item);
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
        removed(entry);
        dropIdleAccounts();
        return Optional.of(entry.item);
    }

    /** Charges an account for work that started without waiting, so that it counts in its share. */
    void charge(AccountId account, double work, double weight) {
        AccountQueue<T> queue = accounts.computeIfAbsent(account, _ -> new AccountQueue<>());
        queue.virtualTime = Math.max(queue.virtualTime, virtualTime) + work / weight;
        queue.weight = weight;
    }

    /** Removes the items that fulfil a condition and returns them. */
    List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>();
        for (AccountQueue<T> queue : accounts.values()) {
            Iterator<Entry<T>> entries = queue.entries.iterator();
            while (entries.hasNext()) {
                Entry<T> entry = entries.next();
                if (condition.test(entry.item)) {
                    entries.remove();
                    removed(entry);
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

    /** Returns the queued work that is served before a new item of an account, by the fair shares. */
    double workBefore(AccountId account, ToDoubleFunction<AccountId> weights) {
        return Math.min(queuedWork, workBeforeIfBacklogsPersist(account, weights));
    }

    /**
     * Returns the work that is served before a new item of an account if the accounts that have a backlog keep it up.
     *
     * <p>An account that was served more than the others waits until they have caught up, so their work counts up to the
     * new item's virtual start time, also work that is still to arrive.
     */
    double workBeforeIfBacklogsPersist(AccountId account, ToDoubleFunction<AccountId> weights) {
        AccountQueue<T> own = accounts.get(account);
        double start = virtualTime;
        double before = 0;
        if (own != null) {
            before = own.queuedWork();
            start = Math.max(virtualTime, own.virtualTime) + before / weights.applyAsDouble(account);
        }
        for (Map.Entry<AccountId, AccountQueue<T>> entry : accounts.entrySet()) {
            AccountQueue<T> other = entry.getValue();
            if (!entry.getKey().equals(account) && !other.entries.isEmpty()) {
                before += Math.max(0, start - other.virtualTime) * other.weight;
            }
        }
        return before;
    }

    private void removed(Entry<T> entry) {
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
