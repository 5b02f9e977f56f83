package org.amaranthlock.coordination.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.model.TargetId;

/**
 * Reservation of an engine before an attempt of a stream is sent.
 *
 * <p>A request that ends meanwhile, because its client leaves or its deadline passes, ignores the answer; the reservation
 * expires at its keeper. Not thread-safe.
 */
final class ReservationStep {
    private final ServiceDefinition service;
    private final long tokens;
    private final TargetLoadBalancer loadBalancer;
    private final Optional<EngineReservations> reservations;
    private final DecisionRecorder decisions;
    private final Sender sender;
    private final AttemptTracker attempts;
    private final Chooser chooser;
    private Optional<PendingAttempt> pending = Optional.empty();

    /** Number of the last question; answers to earlier ones are ignored. */
    private long lastQuestion;

    /** Sends the attempt after the step. */
    @FunctionalInterface
    interface Sender {
        void send(RetryTargets.Destination destination, String cause, long nowMillis);
    }

    /** Chooses a destination anew, because the one chosen before the step may no longer be used. */
    @FunctionalInterface
    interface Chooser {
        void choose(String cause, long nowMillis);
    }

    ReservationStep(
            ServiceDefinition service,
            long tokens,
            ForwardingState state,
            AttemptTracker attempts,
            DecisionRecorder decisions,
            Sender sender,
            Chooser chooser) {
        this.service = Objects.requireNonNull(service, "service");
        this.tokens = tokens;
        this.loadBalancer = state.loadBalancer();
        this.reservations = state.reservations();
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.chooser = Objects.requireNonNull(chooser, "chooser");
    }

    /** Returns whether an answer is awaited. */
    boolean running() {
        return pending.isPresent();
    }

    /** Ends the step; an answer is ignored from now on. */
    void end() {
        pending = Optional.empty();
    }

    /**
     * Sends an attempt, possibly to a better engine after another host has answered. An attempt is sent at once if its
     * engine holds the prompt or a copy, so that no other one comes into question, or if asking is not worth its time.
     * While an answer is awaited, the attempt counts as load of its engine, so that the requests that this host places
     * meanwhile see it.
     */
    void send(PendingAttempt attempt, TargetConstraint constraint, long nowMillis) {
        EntryTarget chosen = attempt.destination().target();
        Optional<EngineReservations.Question> question = reservations
                .filter(_ -> service.engine() && !attempt.destination().holdsPrompt())
                .flatMap(all -> all.question(service, tokens, chosen, constraint, nowMillis));
        if (question.isEmpty()) {
            sender.send(attempt.destination(), attempt.cause(), nowMillis);
            return;
        }
        pending = Optional.of(attempt);
        long number = ++lastQuestion;
        reservations.get().ask(question.get(), (reserved, answeredAtMillis) -> {
            if (isAwaited(number)) {
                pending = Optional.empty();
                attempts.releaseReservation();
                onAnswered(attempt, reserved, constraint, answeredAtMillis);
            }
        });
        if (isAwaited(number)) { // not answered within the call, which it is if this host is the keeper
            attempts.reserve(chosen);
        }
    }

    private boolean isAwaited(long question) {
        return pending.isPresent() && question == lastQuestion;
    }

    private void onAnswered(
            PendingAttempt attempt, Optional<TargetId> reserved, TargetConstraint constraint, long nowMillis) {
        Optional<EntryTarget> engine = reserved.flatMap(id -> usableEngine(id, constraint, nowMillis));
        if (engine.isPresent()) {
            decisions.record("reserved", Optional.empty(), "granted", 0, nowMillis);
        } else {
            String cause = reserved.isPresent() ? "engine-gone" : "no-answer";
            decisions.record("not-reserved", Optional.empty(), cause, 0, nowMillis);
        }
        TargetId chosen = attempt.destination().target().id();
        Optional<EntryTarget> usable = engine.or(() -> usableEngine(chosen, constraint, nowMillis));
        if (usable.isPresent()) {
            sender.send(
                    new RetryTargets.Destination(usable.get(), Optional.empty(), false), attempt.cause(), nowMillis);
        } else { // it has left or failed meanwhile, or its version may not be used now
            chooser.choose(attempt.cause(), nowMillis);
        }
    }

    /** Returns an engine if it may still be used; it may have been removed, or have failed, meanwhile. */
    private Optional<EntryTarget> usableEngine(TargetId id, TargetConstraint constraint, long nowMillis) {
        return loadBalancer.usableLoads(service, constraint, nowMillis).stream()
                .map(CandidateLoad::target)
                .filter(target -> target.id().equals(id))
                .findFirst();
    }
}
