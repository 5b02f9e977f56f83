package org.amaranthlock.coordination.forwarding;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.amaranthlock.coordination.membership.RendezvousOrder;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;

/**
 * State machine of a request that another host sends to a target because this one has no path to any.
 *
 * <p>The other host chooses targets, retries and keeps limits as for its own clients, but passes the request to nobody.
 * A request that must not be executed twice goes to a second host only if the first one stated that it was not
 * executed, or if nothing was sent. A stream that has already started is resumed at its own host if no other one serves
 * it, since paths recover. Not thread-safe.
 */
public final class RelayedRequest {
    /** Hosts to which a request is passed one after the other. */
    private static final int MAX_HOSTS = 3;

    /** Interval at which it is checked whether the other host still reports, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 500;

    private static final long NO_HOST_RETRY_AFTER_MILLIS = 300;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final RequestAttributes attributes;
    private final Route route;
    private final ServiceName service;
    private final TargetLoadBalancer loadBalancer;
    private final RelayStart handedOver;
    private final StreamProgress stream;
    private final ForwardingPort port;
    private final Set<String> tried = new HashSet<>();
    private Optional<SoftwareVersion> streamVersion;
    private int executions;
    private int attemptCount;
    private Optional<RelayAttempt> current = Optional.empty();
    private boolean completed;

    /** Creates a request, which is sent to another host by {@link #start}. */
    public RelayedRequest(
            RequestAttributes attributes,
            Route route,
            ServiceName service,
            TargetLoadBalancer loadBalancer,
            RelayStart handedOver,
            ForwardingPort port) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.handedOver = Objects.requireNonNull(handedOver, "state handed over");
        this.port = Objects.requireNonNull(port, "port");
        this.stream = handedOver.stream();
        this.streamVersion = handedOver.streamVersion();
        this.executions = handedOver.executions();
    }

    /** Returns whether the request has its final response, or its client has left. */
    public boolean isCompleted() {
        return completed;
    }

    /** Sends the request to another host. */
    public void start(long nowMillis) {
        sendToNextHost("no-path", nowMillis);
    }

    /** Handles the complete response of a target, which the other host received. */
    public void onResponse(int attempt, TargetResponse response, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (stream.opened() || !response.hasFinalStatus()) {
            endLost("status-" + response.status(), nowMillis);
            return;
        }
        complete("answered", "whole-via-" + host(), response.status(), nowMillis);
        port.respond(response);
    }

    /**
     * Handles the response head of an event stream.
     *
     * @param version version of the target that began the stream; empty if the other host does not tell it
     */
    public void onStreamOpened(int attempt, TargetResponse head, Optional<SoftwareVersion> version) {
        if (isCurrent(attempt)) {
            stream.offerHead(head, version);
        }
    }

    /** Handles complete events of a stream. */
    public void onEvents(int attempt, List<StreamEvent> events, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        OptionalLong afterGap = stream.forward(events);
        if (stream.begun()) {
            streamVersion = streamVersion.or(stream::version);
        }
        if (afterGap.isPresent()) {
            port.cancelRelay(current.orElseThrow());
            endLost("event-missing", nowMillis);
        }
    }

    /** Handles the regular end of an event stream. */
    public void onStreamEnded(int attempt, long nowMillis) {
        if (isCurrent(attempt)) {
            complete("answered", "complete-via-" + host(), stream.status(), nowMillis);
            stream.end();
        }
    }

    /**
     * Handles a rejection by the other host.
     *
     * @param anotherHost whether the rejection concerns that host only and the request was not executed
     */
    public void onRejected(int attempt, Rejection rejection, boolean anotherHost, long nowMillis) {
        if (!isCurrent(attempt)) {
            return;
        }
        record("relay-rejected", rejection.reason() + "-at-" + host(), rejection.status(), nowMillis);
        current = Optional.empty();
        if (anotherHost) {
            sendToNextHost(rejection.reason(), nowMillis);
            return;
        }
        boolean untrue = executions > 0 && NOT_RUN_STATUSES.contains(rejection.status());
        fail(untrue ? Rejection.of(502, rejection.reason()) : rejection, nowMillis);
    }

    /** Handles an attempt of which nothing was sent. */
    public void onNotSent(int attempt, String cause, long nowMillis) {
        if (isCurrent(attempt)) {
            record("relay-not-sent", cause + "-" + host(), 0, nowMillis);
            current = Optional.empty();
            sendToNextHost(cause, nowMillis);
        }
    }

    /** Handles an attempt that ended without a response after it had been sent. */
    public void onLost(int attempt, String cause, long nowMillis) {
        if (isCurrent(attempt)) {
            endLost(cause, nowMillis);
        }
    }

    /** Handles the closing of the connection by the client. */
    public void onClientDisconnected(long nowMillis) {
        if (!completed) {
            current.ifPresent(port::cancelRelay);
            complete("caller-left", "connection-closed", 0, nowMillis);
        }
    }

    /** Handles the timer: checks the deadline and whether the other host is alive. */
    public void onTimer(long nowMillis) {
        if (completed) {
            return;
        }
        if (nowMillis >= handedOver.deadlineMillis()) {
            boolean mayHaveRun = current.isPresent() || executions > 0;
            current.ifPresent(port::cancelRelay);
            fail(mayHaveRun ? Rejection.of(504, "timeout") : Rejection.retryLater(0, "timeout"), nowMillis);
        } else if (current.isPresent() && !loadBalancer.isReporting(host(), nowMillis)) {
            port.cancelRelay(current.get());
            endLost("host-silent", nowMillis);
        } else {
            scheduleTimer(nowMillis);
        }
    }

    private void sendToNextHost(String cause, long nowMillis) {
        Optional<String> next = nextHost(nowMillis);
        if (next.isEmpty() && mayGoOnHere()) {
            record("taken-back", cause, 0, nowMillis);
            completed = true;
            port.takeBack(executions, streamVersion);
            return;
        }
        if (next.isEmpty()) {
            fail(
                    executions > 0 ? Rejection.of(502, cause) : Rejection.retryLater(NO_HOST_RETRY_AFTER_MILLIS, cause),
                    nowMillis);
            return;
        }
        tried.add(next.get());
        RelayAttempt attempt = new RelayAttempt(
                ++attemptCount,
                next.get(),
                handedOver.deadlineMillis() - nowMillis,
                stream.lastEventId() < 0 ? Optional.empty() : Optional.of(stream.lastEventId()),
                streamVersion,
                route.maxAttempts() - executions);
        current = Optional.of(attempt);
        record("relayed", cause + "-to-" + next.get(), 0, nowMillis);
        scheduleTimer(nowMillis);
        port.relay(attempt);
    }

    /** Returns whether the own host resumes the stream: it has started, and another attempt is allowed. */
    private boolean mayGoOnHere() {
        return stream.opened() && route.isRetryable() && executions < route.maxAttempts();
    }

    /** Returns the host to try next; requests are spread by their ids. */
    private Optional<String> nextHost(long nowMillis) {
        if (tried.size() >= MAX_HOSTS) {
            return Optional.empty();
        }
        List<String> hosts = new ArrayList<>(loadBalancer.hostsWithPath(service, nowMillis));
        hosts.removeAll(tried);
        return RendezvousOrder.order(attributes.id(), hosts, Function.identity()).stream()
                .findFirst();
    }

    private void endLost(String cause, long nowMillis) {
        executions++;
        record("relay-lost", cause + "-at-" + host(), 0, nowMillis);
        current = Optional.empty();
        if (route.isRetryable() && executions < route.maxAttempts()) {
            sendToNextHost(cause, nowMillis);
        } else {
            fail(Rejection.of(502, cause), nowMillis);
        }
    }

    private void fail(Rejection rejection, long nowMillis) {
        if (stream.opened()) {
            complete("broken-off", rejection.reason(), 0, nowMillis);
            port.abort();
            return;
        }
        complete("rejected", rejection.reason(), rejection.status(), nowMillis);
        port.reject(rejection);
    }

    private boolean isCurrent(int attempt) {
        return !completed && current.isPresent() && current.get().number() == attempt;
    }

    private String host() {
        return current.map(RelayAttempt::host).orElse("-");
    }

    private void scheduleTimer(long nowMillis) {
        port.scheduleTimer(Math.min(handedOver.deadlineMillis(), nowMillis + CHECK_INTERVAL_MILLIS));
    }

    private void complete(String step, String cause, int status, long nowMillis) {
        completed = true;
        decide(step, cause, status, nowMillis, true);
    }

    private void record(String step, String cause, int status, long nowMillis) {
        decide(step, cause, status, nowMillis, false);
    }

    private void decide(String step, String cause, int status, long nowMillis, boolean last) {
        port.recordDecision(new ForwardingDecision(
                step,
                attemptCount,
                Optional.empty(),
                Optional.empty(),
                cause,
                status,
                nowMillis - handedOver.arrivedAtMillis(),
                stream.lastEventId(),
                last));
    }
}
