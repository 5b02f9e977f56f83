package org.amaranthlock.bench.sim;

import java.util.Objects;
import org.amaranthlock.model.RequestSpec;

/** Request of the workload and the part of the response that its client has received so far. Not thread-safe. */
public final class SimulatedRequest {
    /** State of a request, as seen by its client. */
    public enum State {
        OPEN,
        COMPLETED,
        REFUSED,
        FAILED
    }

    private final RequestSpec spec;
    private final int promptTokens;
    private final long prefixHash;
    private final int responseTokens;
    private final boolean straggler;
    private State state = State.OPEN;
    private int deliveredTokens;
    private long firstTokenMillis = -1;
    private long endedMillis = -1;
    private long lastDeliveryMillis = -1;
    private boolean resuming;
    private long resumeGapMillis = -1;

    /** Creates an open request. */
    public SimulatedRequest(
            RequestSpec spec, int promptTokens, long prefixHash, int responseTokens, boolean straggler) {
        this.spec = Objects.requireNonNull(spec, "spec");
        this.promptTokens = promptTokens;
        this.prefixHash = prefixHash;
        this.responseTokens = responseTokens;
        this.straggler = straggler;
    }

    void recordDelivery(int firstIndex, int tokens, long nowMillis) {
        if (firstIndex != deliveredTokens) {
            throw new IllegalStateException("tokens of request " + spec.id()
                    + " are missing or repeated: expected position " + deliveredTokens + ", got " + firstIndex);
        }
        if (firstTokenMillis < 0) {
            firstTokenMillis = nowMillis;
        } else if (resuming) {
            resumeGapMillis = Math.max(resumeGapMillis, nowMillis - lastDeliveryMillis);
        }
        resuming = false;
        lastDeliveryMillis = nowMillis;
        deliveredTokens += tokens;
    }

    /** Records that a new attempt resumes the response, so that the next delivery ends a resume gap. */
    void recordResume() {
        resuming = true;
    }

    void recordEnd(State endState, long nowMillis) {
        if (state != State.OPEN) {
            throw new IllegalStateException(
                    "request " + spec.id() + " ended twice: first as " + state + ", then as " + endState);
        }
        if (endState == State.COMPLETED && deliveredTokens != responseTokens) {
            throw new IllegalStateException("response to request " + spec.id() + " ended after " + deliveredTokens
                    + " of " + responseTokens + " tokens");
        }
        state = endState;
        endedMillis = nowMillis;
    }

    /** Returns the request as the router receives it. */
    public RequestSpec spec() {
        return spec;
    }

    /** Returns the number of tokens of the prompt. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the hash of the shareable part of the prompt. */
    public long prefixHash() {
        return prefixHash;
    }

    /** Returns the number of tokens of the complete response. */
    public int responseTokens() {
        return responseTokens;
    }

    /** Returns whether the response is many times longer than the others. */
    public boolean straggler() {
        return straggler;
    }

    /** Returns the state. */
    public State state() {
        return state;
    }

    /** Returns the number of tokens that the client has received. */
    public int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns the time from arrival to the first token in milliseconds, or -1 if there was none. */
    public long waitMillis() {
        return firstTokenMillis < 0 ? -1 : firstTokenMillis - spec.arrivedAtMillis();
    }

    /** Returns the time from arrival to the end in milliseconds, or -1 if the request is open. */
    public long latencyMillis() {
        return endedMillis < 0 ? -1 : endedMillis - spec.arrivedAtMillis();
    }

    /** Returns the time of the end in milliseconds, or -1 if the request is open. */
    public long endedMillis() {
        return endedMillis;
    }

    /** Returns the longest pause before the first token of a resumed attempt in milliseconds, or -1 for none. */
    public long resumeGapMillis() {
        return resumeGapMillis;
    }
}
