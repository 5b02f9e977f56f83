package org.amaranthlock.coordination.forwarding;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** Records the decisions on one request, with its state at that moment. */
final class DecisionRecorder {
    private final ForwardingPort port;
    private final AttemptTracker attempts;
    private final StreamProgress stream;
    private final Set<String> recordedOnce = new HashSet<>();
    private long arrivedAtMillis;

    DecisionRecorder(ForwardingPort port, AttemptTracker attempts, StreamProgress stream) {
        this.port = Objects.requireNonNull(port, "port");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.stream = Objects.requireNonNull(stream, "stream");
    }

    /** Sets the arrival time of the request, from which the times of its decisions count. */
    void start(long nowMillis) {
        arrivedAtMillis = nowMillis;
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    /** Records a decision after which the request goes on. */
    void record(String step, Optional<Attempt> attempt, String cause, int status, long nowMillis) {
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, false));
    }

    /** Records a decision on an attempt after which the request goes on. */
    void record(String step, Attempt attempt, String cause, int status, long nowMillis) {
        record(step, Optional.of(attempt), cause, status, nowMillis);
    }

    /** Records a decision that is repeated while the request waits, but only the first time. */
    void recordOnce(String step, String cause, long nowMillis) {
        if (recordedOnce.add(step)) {
            record(step, Optional.empty(), cause, 0, nowMillis);
        }
    }

    /** Records the decision that completes the request. */
    void recordLast(String step, Optional<Attempt> attempt, String cause, int status, long nowMillis) {
        port.recordDecision(decision(step, attempt, cause, status, nowMillis, true));
    }

    private ForwardingDecision decision(
            String step, Optional<Attempt> attempt, String cause, int status, long nowMillis, boolean last) {
        return new ForwardingDecision(
                step,
                attempt.map(Attempt::number).orElse(attempts.started()),
                attempt.map(concerned -> concerned.target().id()),
                attempt.map(concerned -> concerned.target().version()),
                cause,
                status,
                nowMillis - arrivedAtMillis,
                stream.lastEventId(),
                last);
    }
}
