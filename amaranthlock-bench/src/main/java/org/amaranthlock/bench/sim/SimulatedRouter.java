package org.amaranthlock.bench.sim;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestEvent;
import org.amaranthlock.coordination.RequestEvent.FailureKind;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Executes the commands of one decision core against simulated engines. */
public final class SimulatedRouter {
    private final NodeCore core;
    private final Region region;
    private final EngineFleet fleet;
    private final SimulatedTargetDirectory directory;
    private final VirtualTimeScheduler scheduler;
    private final Map<RequestId, SimulatedRequest> requests = new LinkedHashMap<>();
    private final Map<AttemptId, Target> attempts = new LinkedHashMap<>();

    /** Creates a router; {@link #start()} starts its periodic ticks. */
    public SimulatedRouter(
            NodeCore core,
            Region region,
            EngineFleet fleet,
            SimulatedTargetDirectory directory,
            VirtualTimeScheduler scheduler) {
        this.core = Objects.requireNonNull(core, "core");
        this.region = Objects.requireNonNull(region, "region");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
    }

    /** Starts the periodic ticks. */
    public void start() {
        handle(new Event.Tick());
        scheduler.scheduleAfterMillis(NodeCore.TICK_MILLIS, this::start);
    }

    /** Handles the arrival of a request. */
    public void receiveRequest(SimulatedRequest request) {
        requests.put(request.spec().id(), request);
        handle(new RequestEvent.Arrived(request.spec(), OptionalInt.empty()));
    }

    /** Handles the arrival of a load report. */
    public void receiveLoadReport(TargetEvent.LoadReported report) {
        handle(report);
    }

    private void handle(Event event) {
        for (Command command : core.handle(event, scheduler.nowMillis())) {
            execute(command);
        }
    }

    private void execute(Command command) {
        switch (command) {
            case RequestCommand.OpenStream open -> openStream(open);
            case RequestCommand.CancelAttempt cancel -> cancel(cancel);
            case RequestCommand.DeliverTokens deliver ->
                request(deliver.request())
                        .recordDelivery(deliver.firstIndex(), deliver.tokens().size(), scheduler.nowMillis());
            case RequestCommand.CompleteStream complete ->
                endRequest(complete.request(), SimulatedRequest.State.COMPLETED);
            case RequestCommand.Refuse refuse -> {
                boolean started = request(refuse.request()).deliveredTokens() > 0;
                endRequest(refuse.request(), started ? SimulatedRequest.State.FAILED : SimulatedRequest.State.REFUSED);
            }
            default -> {
                // Peer messages, platform operations and traces have no counterpart in this model.
            }
        }
    }

    private SimulatedRequest request(RequestId id) {
        return Objects.requireNonNull(
                requests.get(id), () -> "core sent a command for request " + id + ", which is unknown or has ended");
    }

    private void endRequest(RequestId id, SimulatedRequest.State state) {
        request(id).recordEnd(state, scheduler.nowMillis());
        requests.remove(id);
    }

    private void openStream(RequestCommand.OpenStream open) {
        SimulatedRequest request = request(open.spec().id());
        attempts.put(open.attempt(), open.target());
        if (!open.prefix().isEmpty()) {
            request.recordResume();
        }
        SimulatedEngine.Job job = new SimulatedEngine.Job(
                open.attempt(),
                request.promptTokens(),
                request.prefixHash(),
                open.prefix().size(),
                request.responseTokens(),
                open.priority(),
                new AttemptListener(open.target()));
        scheduler.scheduleAfterMillis(
                EngineFleet.oneWayDelayMillis(region, open.target()),
                () -> fleet.engine(open.target().id()).submit(job));
    }

    private void cancel(RequestCommand.CancelAttempt cancel) {
        attempts.remove(cancel.attempt());
        scheduler.scheduleAfterMillis(
                EngineFleet.oneWayDelayMillis(region, cancel.target()),
                () -> fleet.engine(cancel.target().id()).cancel(cancel.attempt()));
    }

    /** Passes the output of an engine to the core after the network delay; drops the output of cancelled attempts. */
    private final class AttemptListener implements SimulatedEngine.Listener {
        private final Target target;

        private AttemptListener(Target target) {
            this.target = target;
        }

        @Override
        public void tokensGenerated(AttemptId attempt, int firstIndex, int count) {
            handleAfterDelay(
                    attempt, new RequestEvent.TokensReceived(attempt, firstIndex, Collections.nCopies(count, "t")));
        }

        @Override
        public void responseCompleted(AttemptId attempt, int count) {
            handleAfterDelay(attempt, new RequestEvent.StreamEnded(attempt, "stop", count));
        }

        @Override
        public void connectionLost(AttemptId attempt) {
            reportFailure(attempt, FailureKind.LOST, "connection closed");
        }

        @Override
        public void connectionRefused(AttemptId attempt) {
            reportFailure(attempt, FailureKind.NOT_SENT, "connection refused");
        }

        private void reportFailure(AttemptId attempt, FailureKind kind, String detail) {
            scheduler.scheduleAfterMillis(EngineFleet.oneWayDelayMillis(region, target), () -> {
                TargetId id = target.id();
                directory.markUnreachable(id);
                handleUnlessCancelled(
                        attempt, new RequestEvent.AttemptFailed(attempt, kind, detail, OptionalLong.empty()));
                handle(new TargetEvent.Unreachable(id));
            });
        }

        private void handleAfterDelay(AttemptId attempt, Event event) {
            scheduler.scheduleAfterMillis(
                    EngineFleet.oneWayDelayMillis(region, target), () -> handleUnlessCancelled(attempt, event));
        }

        private void handleUnlessCancelled(AttemptId attempt, Event event) {
            if (attempts.containsKey(attempt)) {
                handle(event);
            }
        }
    }

    /** Returns the open requests. */
    public List<SimulatedRequest> openRequests() {
        return List.copyOf(requests.values());
    }
}
