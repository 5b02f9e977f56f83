package org.amaranthlock.coordination.promptpart;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongConsumer;
import org.amaranthlock.model.PromptPartId;

/** The parts of the prompt of one request that other requests may share. Not thread-safe. */
public final class RequestParts {
    private final PromptPartGuard guard;
    private final Set<PromptPartId> parts;

    /** Crashes that were known for each part when an attempt was sent, by attempt number. */
    private final Map<Integer, Map<PromptPartId, Integer>> crashesAtSend = new HashMap<>();

    private LongConsumer blamedListener = _ -> {};
    private boolean begun;

    RequestParts(PromptPartGuard guard, List<PromptPartId> parts) {
        this.guard = Objects.requireNonNull(guard, "guard");
        this.parts = new LinkedHashSet<>(parts);
    }

    /** Returns whether the request has parts that other requests may share. */
    public boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Decides whether the request may be sent; one that a target has begun to answer may always be. */
    public TrialDecision decide(long nowMillis) {
        return begun || parts.isEmpty() ? new TrialDecision.Granted() : guard.decide(this, nowMillis);
    }

    /**
     * Sets the listener that is called, with the current time, when parts of this request become suspect while a target
     * executes it that has not begun to answer.
     */
    public void onBlamed(LongConsumer listener) {
        blamedListener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns whether a target that executes the request is likely to crash, and the request is no trial. */
    public boolean isBlamed(long nowMillis) {
        return !begun && guard.isBlamed(this, nowMillis);
    }

    /** Records that an attempt is sent. */
    public void recordSend(int attempt, long nowMillis) {
        if (!parts.isEmpty()) {
            crashesAtSend.put(attempt, guard.crashes(parts, nowMillis));
            guard.recordSend(this);
        }
    }

    /** Records that the target of the current attempt no longer executes the request, as far as this host knows. */
    public void recordEnd() {
        guard.recordEnd(this);
    }

    /** Records that a target has begun to answer the request. */
    public void recordBegun(long nowMillis) {
        if (!begun) {
            begun = true;
            guard.recordEnd(this);
            guard.recordBegun(parts, nowMillis);
            guard.release(this);
        }
    }

    /** Records that the target of an attempt crashed before it began to answer. */
    public void recordCrash(int attempt, long nowMillis) {
        Map<PromptPartId, Integer> known = crashesAtSend.remove(attempt);
        if (known != null) {
            guard.recordEnd(this);
            guard.release(this);
            guard.recordCrash(known, nowMillis);
        }
    }

    /** Lets other requests with the same suspect parts be tried. */
    public void release() {
        guard.release(this);
    }

    Set<PromptPartId> parts() {
        return parts;
    }

    void notifyBlamed(long nowMillis) {
        blamedListener.accept(nowMillis);
    }
}
