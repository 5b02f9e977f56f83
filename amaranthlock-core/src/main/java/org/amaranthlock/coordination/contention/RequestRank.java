package org.amaranthlock.coordination.contention;

import org.amaranthlock.model.Arguments;

/**
 * Rank of a request; 0 is the highest.
 *
 * @param priority priority of the client account or, if it has none, of the route
 * @param routePriority priority of the route among requests of the same priority, if that is an account's; otherwise 0
 */
public record RequestRank(int priority, int routePriority) implements Comparable<RequestRank> {
    /** Number of priorities of routes. */
    private static final int ROUTE_PRIORITIES = 10;

    public RequestRank {
        Arguments.requireNonNegative(priority, "priority");
        Arguments.require(routePriority >= 0 && routePriority < ROUTE_PRIORITIES, "route priority must be from 0 to 9");
    }

    /** Creates the rank of a request whose account has no priority. */
    public static RequestRank of(int routePriority) {
        return new RequestRank(routePriority, 0);
    }

    /** Creates the rank of a request whose account has a priority; it takes precedence over that of the route. */
    public static RequestRank of(int accountPriority, int routePriority) {
        return new RequestRank(accountPriority, Math.clamp(routePriority, 0, ROUTE_PRIORITIES - 1));
    }

    /**
     * Returns the rank that a request has after it has been raised by a number of steps: each step lowers the priority of
     * the route by one or, once that is 0, the priority.
     */
    RequestRank raisedBy(long steps) {
        if (steps <= routePriority) {
            return new RequestRank(priority, (int) (routePriority - steps));
        }
        return new RequestRank((int) Math.max(0, priority - (steps - routePriority)), 0);
    }

    /** Returns the rank as one number, for reports between hosts. */
    int number() {
        return priority * ROUTE_PRIORITIES + routePriority;
    }

    @Override
    public int compareTo(RequestRank other) {
        return Integer.compare(number(), other.number());
    }

    /** Returns the rank for logs and metrics: the priority, a period and the priority of the route. */
    @Override
    public String toString() {
        return priority + "." + routePriority;
    }
}
