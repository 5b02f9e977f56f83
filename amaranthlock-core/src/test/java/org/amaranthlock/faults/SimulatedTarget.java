package org.amaranthlock.faults;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.RequestSpec;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.Work;
import org.amaranthlock.simulation.ClusterSimulation;
import org.amaranthlock.simulation.SimulatedRouterProcess;

/** Engine or call service target that can crash, stop responding, pause and drain. */
final class SimulatedTarget {
    static final long TOKEN_LATENCY_MILLIS = 20;
    static final long PREFILL_MILLIS = 60;
    static final long EXECUTION_MILLIS = 100;
    static final long RESPONSE_DELAY_MILLIS = 100;
    /** Prompt or path of a request that crashes the process that executes it. */
    static final String POISON_CONTENT = "/poison";

    private static final long CRASH_DELAY_MILLIS = 40;

    private final ClusterSimulation simulation;
    private final Target target;
    private final ExecutionLog executionLog;
    private final Map<AttemptId, TokenStream> streams = new LinkedHashMap<>();
    private final Map<AttemptId, SimulatedRouterProcess> calls = new LinkedHashMap<>();
    private final Map<AttemptId, String> receivedCallKeys = new LinkedHashMap<>();
    private final Deque<Runnable> deferredActions = new ArrayDeque<>();
    private final List<Long> newWorkTimes = new ArrayList<>();
    private int incarnation;
    private boolean alive = true;
    private boolean silent;
    private boolean paused;
    private boolean draining;

    SimulatedTarget(ClusterSimulation simulation, Target target, ExecutionLog executionLog) {
        this.simulation = simulation;
        this.target = target;
        this.executionLog = executionLog;
    }

    Target target() {
        return target;
    }

    /** Returns whether the target has a stream with the ledger key; it may have ended. */
    boolean hasStream(String ledgerKey) {
        return streams.values().stream()
                .anyMatch(stream -> stream.spec.ledgerKey().equals(ledgerKey));
    }

    /** Returns whether the target has a stream with the ledger key or ever received a call with it. */
    boolean hasReceived(String ledgerKey) {
        return hasStream(ledgerKey) || receivedCallKeys.containsValue(ledgerKey);
    }

    /** Returns the times at which the target accepted new work, in milliseconds. */
    List<Long> newWorkTimes() {
        return newWorkTimes;
    }

    void kill() {
        alive = false;
        paused = false;
        incarnation++;
        deferredActions.clear();
        for (TokenStream stream : streams.values()) {
            stream.subscribers.forEach(router -> reportLost(router, stream.attempt));
        }
        calls.forEach((attempt, router) -> reportLost(router, attempt));
        streams.clear();
        calls.clear();
    }

    void restart() {
        alive = true;
        silent = false;
    }

    void setSilent(boolean value) {
        silent = value;
    }

    void drain() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }

    void pause(long millis) {
        paused = true;
        int scheduledIncarnation = incarnation;
        simulation.schedule(millis, () -> {
            if (scheduledIncarnation == incarnation) {
                paused = false;
                List<Runnable> actions = List.copyOf(deferredActions);
                deferredActions.clear();
                actions.forEach(Runnable::run);
            }
        });
    }

    private void reportLost(SimulatedRouterProcess router, AttemptId attempt) {
        failAttempt(router, attempt, FailureKind.LOST);
        send(router, new TargetEvent.Unreachable(target.id()));
    }

    private void failAttempt(SimulatedRouterProcess router, AttemptId attempt, FailureKind kind) {
        send(router, new RequestEvent.AttemptFailed(attempt, kind, "simulated", OptionalLong.empty()));
    }

    private void send(SimulatedRouterProcess router, Event event) {
        simulation.schedule(1, () -> router.offer(event));
    }

    /** Runs an action after a delay: not before the end of a pause, and never after the death of the process. */
    private void runAfter(long millis, Runnable action) {
        int scheduledIncarnation = incarnation;
        simulation.schedule(millis, () -> {
            if (scheduledIncarnation != incarnation || !alive) {
                return;
            }
            if (paused) {
                deferredActions.add(action);
            } else {
                action.run();
            }
        });
    }

    private boolean refuseIfDead(SimulatedRouterProcess router, AttemptId attempt) {
        if (!alive) {
            failAttempt(router, attempt, FailureKind.NOT_SENT);
            send(router, new TargetEvent.Unreachable(target.id()));
        }
        return !alive;
    }

    private boolean refuseNewWorkIfUnavailable(SimulatedRouterProcess router, AttemptId attempt) {
        if (refuseIfDead(router, attempt)) {
            return true;
        }
        if (!paused && !silent && draining) {
            failAttempt(router, attempt, FailureKind.DRAINING);
            send(router, new TargetEvent.Draining(target.id()));
            return true;
        }
        return false;
    }

    void poll(SimulatedRouterProcess router) {
        if (!alive) {
            send(router, new TargetEvent.Unreachable(target.id()));
        } else if (!paused && !silent) {
            send(router, new TargetEvent.LoadReported(target.id(), streams.size(), 0, 500));
        }
    }

    void open(SimulatedRouterProcess router, RequestCommand.OpenStream open) {
        if (refuseNewWorkIfUnavailable(router, open.attempt())) {
            return;
        }
        newWorkTimes.add(simulation.now());
        Work.Generation work = (Work.Generation) open.spec().work();
        TokenStream stream = new TokenStream(open.attempt(), open.spec(), work.maxTokens());
        stream.tokens.addAll(open.prefix());
        stream.subscribers.add(router);
        streams.put(open.attempt(), stream);
        if (work.prompt().equals(POISON_CONTENT)) {
            runAfter(CRASH_DELAY_MILLIS, this::kill);
        }
        runAfter(PREFILL_MILLIS, () -> generate(stream));
    }

    private void generate(TokenStream stream) {
        if (!streams.containsKey(stream.attempt)) {
            return;
        }
        if (!silent) {
            int position = stream.tokens.size();
            if (position < stream.maxTokens) {
                stream.tokens.add(GeneratedText.token(
                        stream.spec.fingerprint(),
                        stream.tokens,
                        simulation.random().nextLong(1_000_000_000)));
                List<String> token = List.of(stream.tokens.getLast());
                stream.subscribers.forEach(
                        router -> send(router, new RequestEvent.TokensReceived(stream.attempt, position, token)));
            }
            if (stream.tokens.size() >= stream.maxTokens) {
                stream.ended = true;
                stream.subscribers.forEach(router ->
                        send(router, new RequestEvent.StreamEnded(stream.attempt, "length", stream.maxTokens)));
                return;
            }
        }
        runAfter(TOKEN_LATENCY_MILLIS, () -> generate(stream));
    }

    void attach(SimulatedRouterProcess router, RequestCommand.AttachStream attach) {
        if (refuseIfDead(router, attach.attempt())) {
            return;
        }
        runAfter(1, () -> {
            TokenStream stream = streams.get(attach.attempt());
            if (stream == null || attach.fromIndex() > stream.tokens.size()) {
                failAttempt(router, attach.attempt(), FailureKind.STREAM_GONE);
                return;
            }
            stream.subscribers.add(router);
            if (attach.fromIndex() < stream.tokens.size()) {
                List<String> rest = List.copyOf(stream.tokens.subList(attach.fromIndex(), stream.tokens.size()));
                send(router, new RequestEvent.TokensReceived(attach.attempt(), attach.fromIndex(), rest));
            }
            if (stream.ended) {
                send(router, new RequestEvent.StreamEnded(stream.attempt, "length", stream.maxTokens));
            }
        });
    }

    void cancel(AttemptId attempt) {
        runAfter(1, () -> {
            streams.remove(attempt);
            calls.remove(attempt);
        });
    }

    void call(SimulatedRouterProcess router, RequestCommand.CallService call) {
        AttemptId attempt = call.attempt();
        if (refuseNewWorkIfUnavailable(router, attempt)) {
            return;
        }
        newWorkTimes.add(simulation.now());
        calls.put(attempt, router);
        receivedCallKeys.put(attempt, call.spec().ledgerKey());
        simulation.schedule(call.timeoutMillis(), () -> {
            if (calls.remove(attempt) != null) {
                failAttempt(router, attempt, FailureKind.TIMED_OUT);
            }
        });
        if (((Work.ServiceCall) call.spec().work()).path().equals(POISON_CONTENT)) {
            runAfter(CRASH_DELAY_MILLIS, this::kill);
        }
        runAfter(EXECUTION_MILLIS, () -> execute(call));
    }

    /** Executes a call even if its client has disconnected, like a service that notices this only when it responds. */
    private void execute(RequestCommand.CallService call) {
        String key = call.spec().ledgerKey();
        boolean fencing = target.supports(Capability.FENCING);
        if (fencing && executionLog.isFenced(target.id(), key, call.fence())) {
            finishCall(
                    call.attempt(),
                    new RequestEvent.AttemptFailed(call.attempt(), FailureKind.FENCED, "", OptionalLong.empty()));
            return;
        }
        executionLog.raiseFence(target.id(), key, call.fence());
        executionLog.recordExecution(
                new ExecutionLog.Execution(target.id(), key, call.spec().id(), simulation.now()));
        runAfter(
                RESPONSE_DELAY_MILLIS,
                () -> finishCall(call.attempt(), new RequestEvent.ServiceResponded(call.attempt(), response(key))));
    }

    private static ServiceResponse response(String key) {
        return new ServiceResponse(201, Map.of(), key.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private void finishCall(AttemptId attempt, Event event) {
        if (silent) {
            return;
        }
        SimulatedRouterProcess router = calls.remove(attempt);
        if (router != null) {
            send(router, event);
        }
    }

    void reconcile(SimulatedRouterProcess router, RequestCommand.Reconcile query) {
        if (refuseIfDead(router, query.attempt())) {
            return;
        }
        runAfter(2, () -> {
            if (silent) {
                return;
            }
            String key = query.spec().ledgerKey();
            if (target.supports(Capability.FENCING)) {
                executionLog.raiseFence(target.id(), key, query.fence());
            }
            Optional<ServiceResponse> response =
                    executionLog.wasExecuted(target.id(), key) ? Optional.of(response(key)) : Optional.empty();
            send(router, new RequestEvent.Reconciled(query.attempt(), response));
        });
    }

    private static final class TokenStream {
        private final AttemptId attempt;
        private final RequestSpec spec;
        private final int maxTokens;
        private final List<String> tokens = new ArrayList<>();
        private final List<SimulatedRouterProcess> subscribers = new ArrayList<>();
        private boolean ended;

        TokenStream(AttemptId attempt, RequestSpec spec, int maxTokens) {
            this.attempt = attempt;
            this.spec = spec;
            this.maxTokens = maxTokens;
        }
    }
}
