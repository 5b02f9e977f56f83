package org.amaranthlock.coordination.availability;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import org.amaranthlock.coordination.targetlimit.TargetIncarnation;

/**
 * Targets that have said in a response that they leave, or that they want no request from this host for some time.
 *
 * <p>Both belong to one run of a target's process. A rest ends by itself; that a target leaves holds until another process
 * runs under its id or at its address, whatever its registration says. A rest says nothing about other targets, and other
 * hosts are not bound by it: each one is told itself. Not thread-safe.
 */
public final class TargetAvailability {
    /** Longest rest, in milliseconds; a longer one is a fault of its sender and would shut the target out for good. */
    static final long MAX_REST_MILLIS = 300_000;

    /** Rest that is assumed if the duration cannot be read, in milliseconds. */
    static final long ASSUMED_REST_MILLIS = 1_000;

    /** Time for which the state of a target without a registration is kept, in milliseconds. */
    static final long UNREGISTERED_MILLIS = 600_000;

    private final AvailabilityListener listener;
    private final Map<TargetIncarnation, State> states = new HashMap<>();

    private static final class State {
        private boolean leaving;
        private long restEndMillis = Long.MIN_VALUE;
        private long statedAtMillis;
    }

    /** Creates a state in which no target has said anything. */
    public TargetAvailability(AvailabilityListener listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Forgets the targets that others have replaced, or that have been gone for long. */
    public void update(Collection<TargetIncarnation> registered, long nowMillis) {
        states.entrySet().removeIf(entry -> {
            TargetIncarnation target = entry.getKey();
            boolean replaced = registered.stream().anyMatch(target::isReplacedBy);
            boolean old = nowMillis - entry.getValue().statedAtMillis >= UNREGISTERED_MILLIS;
            return replaced || (old && !registered.contains(target));
        });
    }

    /** Applies what a response says about its target. */
    public void record(TargetIncarnation target, AvailabilityStatement statement, long nowMillis) {
        if (statement.equals(AvailabilityStatement.NONE)) {
            return;
        }
        State state = states.computeIfAbsent(target, _ -> new State());
        state.statedAtMillis = nowMillis;
        if (statement.leaving() && !state.leaving) {
            state.leaving = true;
            listener.onLeaving(target.id());
        }
        switch (statement.rest()) {
            case RestStatement.NotAsked _ -> {}
            case RestStatement.Asked asked -> {
                long millis = Math.min(asked.millis(), MAX_REST_MILLIS);
                extendRest(state, millis, nowMillis);
                listener.onRestAsked(target.id(), millis);
            }
            case RestStatement.Unusable unusable -> {
                extendRest(state, ASSUMED_REST_MILLIS, nowMillis);
                listener.onUnusableRest(target.id(), unusable.text(), ASSUMED_REST_MILLIS);
            }
        }
    }

    /** Returns whether no target has said anything, as is usual; then no target need be looked up. */
    public boolean isEmpty() {
        return states.isEmpty();
    }

    /** Returns whether a target has said that it leaves. */
    public boolean isLeaving(TargetIncarnation target) {
        State state = states.get(target);
        return state != null && state.leaving;
    }

    /** Returns when the rest of a target ends; empty if it does not rest. */
    public OptionalLong restEndMillis(TargetIncarnation target, long nowMillis) {
        State state = states.get(target);
        return state != null && state.restEndMillis > nowMillis
                ? OptionalLong.of(state.restEndMillis)
                : OptionalLong.empty();
    }

    /** Returns whether a target may be sent a request, of whatever kind. */
    public boolean mayReceive(TargetIncarnation target, long nowMillis) {
        return !isLeaving(target) && restEndMillis(target, nowMillis).isEmpty();
    }

    /** A later answer, to a request that was on its way, does not shorten the rest. */
    private static void extendRest(State state, long millis, long nowMillis) {
        state.restEndMillis = Math.max(state.restEndMillis, nowMillis + millis);
    }
}
