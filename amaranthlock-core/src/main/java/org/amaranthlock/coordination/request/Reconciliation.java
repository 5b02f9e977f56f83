package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.Target;

/**
 * Queries targets to find out whether they have executed the request of an idempotency key.
 *
 * <p>The response of one target proves that the request was executed. Only the replies of all targets that may have
 * received it prove that it was not and never will be executed, and only if each query raised the target's fencing
 * number, so that the target rejects a dispatch that is still in transit.
 */
final class Reconciliation {
    /** Time for all replies; a client may have to wait this long after a failure. */
    static final long TIMEOUT_MILLIS = 2000;

    /** Delay before a failed query is sent again. */
    private static final long RETRY_DELAY_MILLIS = 200;

    private static final int MAX_QUERIES_PER_TARGET = 3;

    /** Conclusion from the replies received so far. */
    enum State {
        PENDING,
        NEVER_EXECUTED,
        UNDECIDED
    }

    private final RequestLifecycle lifecycle;
    private final OptionalLong fence;
    private final long startedAt;
    private final Map<AttemptId, Target> pendingQueries = new LinkedHashMap<>();
    private final Map<Target, Long> nextQueryAt = new LinkedHashMap<>();
    private final Map<Target, Integer> queryCounts = new LinkedHashMap<>();
    private boolean conclusive;

    /**
     * Creates a reconciliation.
     *
     * @param lifecycle the request
     * @param targets all targets that may have received the key
     * @param fence raised fencing number; without it no reply proves that the key will never be executed
     */
    Reconciliation(RequestLifecycle lifecycle, List<Target> targets, OptionalLong fence, long now) {
        this.lifecycle = lifecycle;
        this.fence = fence;
        this.startedAt = now;
        this.conclusive = fence.isPresent() && !targets.isEmpty();
        for (Target target : targets) {
            if (target.supports(Capability.RECONCILE)) {
                nextQueryAt.put(target, now);
            }
            conclusive = conclusive && target.supports(Capability.RECONCILE) && target.supports(Capability.FENCING);
        }
    }

    /** Sends the queries that are due. */
    void sendDueQueries(long now, List<Command> out) {
        for (Target target : List.copyOf(nextQueryAt.keySet())) {
            if (nextQueryAt.get(target) <= now) {
                nextQueryAt.remove(target);
                queryCounts.merge(target, 1, Integer::sum);
                AttemptId query = lifecycle.nextQuery();
                pendingQueries.put(query, target);
                out.add(new RequestCommand.Reconcile(query, target, lifecycle.spec(), fence));
            }
        }
    }

    /** Records that a target has replied to a query. */
    void onQueryCompleted(AttemptId query) {
        pendingQueries.remove(query);
    }

    /** Records that a query failed, and schedules another one while the limit allows it. */
    void onQueryFailed(RequestEvent.AttemptFailed failure, long now) {
        Target target = pendingQueries.remove(failure.attempt());
        if (target == null) {
            return;
        }
        if (queryCounts.get(target) < MAX_QUERIES_PER_TARGET) {
            nextQueryAt.put(target, now + RETRY_DELAY_MILLIS);
        } else {
            conclusive = false;
        }
    }

    boolean isPending(AttemptId query) {
        return pendingQueries.containsKey(query);
    }

    State state(long now) {
        boolean pending = !pendingQueries.isEmpty() || !nextQueryAt.isEmpty();
        if (pending) {
            return now - startedAt < TIMEOUT_MILLIS ? State.PENDING : State.UNDECIDED;
        }
        return conclusive ? State.NEVER_EXECUTED : State.UNDECIDED;
    }

    /** Cancels the pending queries. */
    void cancel(List<Command> out) {
        List<AttemptId> queries = new ArrayList<>(pendingQueries.keySet());
        for (AttemptId query : queries) {
            out.add(new RequestCommand.CancelAttempt(query, pendingQueries.remove(query)));
        }
        nextQueryAt.clear();
    }
}
