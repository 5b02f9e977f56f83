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

/** Carries out the commands of one decision core against simulated engines. */
public final class SimulatedRouter {
    private final NodeCore core;
    private final Region region;
    private final Fleet fleet;
    private final FleetDirectory directory;
    private final VirtualTime time;
    private final Map<RequestId, SimulatedRequest> requests = new LinkedHashMap<>();
    private final Map<AttemptId, Target> attempts = new LinkedHashMap<>();

    /** Creates a router; {@link #start()} begins its ticks. */
    public SimulatedRouter(NodeCore core, Region region, Fleet fleet, FleetDirectory directory, VirtualTime time) {
        this.core = Objects.requireNonNull(core, "core");
        this.region = Objects.requireNonNull(region, "region");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Begins the ticks. */
    public void start() {
        handle(new Event.Tick());
        time.afterMillis(NodeCore.TICK_MILLIS, this::start);
    }

    /** Takes a request from its caller. */
    public void arrive(SimulatedRequest request) {
        requests.put(request.spec().id(), request);
        handle(new RequestEvent.Arrived(request.spec(), OptionalInt.empty()));
    }

    /** Takes a load report. */
    public void report(TargetEvent.LoadReported report) {
        handle(report);
    }

    private void handle(Event event) {
        for (Command command : core.handle(event, time.nowMillis())) {
            execute(command);
        }
    }

    private void execute(Command command) {
        switch (command) {
            case RequestCommand.OpenStream open -> open(open);
            case RequestCommand.CancelAttempt cancel -> cancel(cancel);
            case RequestCommand.DeliverTokens deliver ->
                request(deliver.request())
                        .delivered(deliver.firstIndex(), deliver.tokens().size(), time.nowMillis());
            case RequestCommand.CompleteStream complete -> end(complete.request(), SimulatedRequest.State.COMPLETED);
            case RequestCommand.Refuse refuse -> {
                boolean begun = request(refuse.request()).deliveredTokens() > 0;
                end(refuse.request(), begun ? SimulatedRequest.State.FAILED : SimulatedRequest.State.REFUSED);
            }
            default -> {
                // Peer messages, platform operations and traces have no counterpart in this model.
            }
        }
    }

    private SimulatedRequest request(RequestId id) {
        return Objects.requireNonNull(requests.get(id), () -> "unknown request " + id);
    }

    private void end(RequestId id, SimulatedRequest.State state) {
        request(id).ended(state, time.nowMillis());
        requests.remove(id);
    }

    private void open(RequestCommand.OpenStream open) {
        SimulatedRequest request = request(open.spec().id());
        attempts.put(open.attempt(), open.target());
        if (!open.prefix().isEmpty()) {
            request.resumed();
        }
        SimulatedEngine.Job job = new SimulatedEngine.Job(
                open.attempt(),
                request.promptTokens(),
                request.prefixHash(),
                open.prefix().size(),
                request.length(),
                open.priority(),
                new AttemptListener(open.target()));
        time.afterMillis(
                Fleet.oneWayMillis(region, open.target()),
                () -> fleet.engine(open.target().id()).submit(job));
    }

    private void cancel(RequestCommand.CancelAttempt cancel) {
        attempts.remove(cancel.attempt());
        time.afterMillis(
                Fleet.oneWayMillis(region, cancel.target()),
                () -> fleet.engine(cancel.target().id()).cancel(cancel.attempt()));
    }

    /** Brings results of an engine back over the network; results of cancelled attempts are dropped. */
    private final class AttemptListener implements SimulatedEngine.Listener {
        private final Target target;

        private AttemptListener(Target target) {
            this.target = target;
        }

        @Override
        public void tokens(AttemptId attempt, int firstIndex, int count) {
            later(attempt, new RequestEvent.TokensReceived(attempt, firstIndex, Collections.nCopies(count, "t")));
        }

        @Override
        public void ended(AttemptId attempt, int count) {
            later(attempt, new RequestEvent.StreamEnded(attempt, "stop", count));
        }

        @Override
        public void lost(AttemptId attempt) {
            failed(attempt, FailureKind.LOST, "connection closed");
        }

        @Override
        public void refused(AttemptId attempt) {
            failed(attempt, FailureKind.NOT_SENT, "connection refused");
        }

        private void failed(AttemptId attempt, FailureKind kind, String detail) {
            time.afterMillis(Fleet.oneWayMillis(region, target), () -> {
                TargetId id = target.id();
                directory.foundDead(id);
                deliver(attempt, new RequestEvent.AttemptFailed(attempt, kind, detail, OptionalLong.empty()));
                handle(new TargetEvent.Unreachable(id));
            });
        }

        private void later(AttemptId attempt, Event event) {
            time.afterMillis(Fleet.oneWayMillis(region, target), () -> deliver(attempt, event));
        }

        private void deliver(AttemptId attempt, Event event) {
            if (attempts.containsKey(attempt)) {
                handle(event);
            }
        }
    }

    /** Returns the requests that are open. */
    public List<SimulatedRequest> open() {
        return List.copyOf(requests.values());
    }
}
