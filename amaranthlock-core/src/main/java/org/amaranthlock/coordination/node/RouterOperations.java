package org.amaranthlock.coordination.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.request.RequestCoordinator;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.model.Target;
import org.amaranthlock.state.TargetDirectory;

/**
 * Handles operator calls for the targets and the graceful shutdown, and stops the process once the shutdown completes.
 */
final class RouterOperations implements CoreComponent {
    /**
     * Time between the end of the last request and the end of the process. In this time, clients that the load balancer
     * still sends here receive a refusal, and the other routers learn that this one is leaving.
     */
    private static final long SHUTDOWN_DELAY_MILLIS = 2_000;

    private final MembershipView membership;
    private final TargetDirectory directory;
    private final TargetSelector selector;
    private final RequestCoordinator requests;
    private final LedgerClient ledger;
    private long idleSinceMillis = -1;
    private boolean stopped;

    RouterOperations(
            MembershipView membership,
            TargetDirectory directory,
            TargetSelector selector,
            RequestCoordinator requests,
            LedgerClient ledger) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.selector = Objects.requireNonNull(selector, "selector");
        this.requests = Objects.requireNonNull(requests, "requests");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        return switch (event) {
            case OperatorEvent.ListTargets list ->
                List.of(new OperatorCommand.TargetsShown(list.call(), targetStatuses()));
            case OperatorEvent.Drain drain ->
                List.of(
                        new OperatorCommand.DrainStarted(drain.call(), requests.openRequestCount()),
                        new Command.RecordTimelineEvent(
                                "router-leaving", membership.self().host().value(), "graceful shutdown started"));
            case Event.Tick _ -> stopWhenIdle(nowMillis);
            default -> List.of();
        };
    }

    private List<OperatorCommand.TargetStatus> targetStatuses() {
        List<OperatorCommand.TargetStatus> statuses = new ArrayList<>();
        for (Target target : directory.allTargets()) {
            String reason = directory.unavailableReason(target.id()).orElse("");
            statuses.add(new OperatorCommand.TargetStatus(
                    target, reason.isEmpty(), reason, selector.localAttempts(target.id())));
        }
        return statuses;
    }

    private List<Command> stopWhenIdle(long nowMillis) {
        boolean idle = membership.isLeaving() && requests.openRequestCount() == 0 && ledger.pendingOutcomeCount() == 0;
        if (!idle || stopped) {
            idleSinceMillis = -1;
            return List.of();
        }
        if (idleSinceMillis < 0) {
            idleSinceMillis = nowMillis;
        }
        stopped = nowMillis - idleSinceMillis >= SHUTDOWN_DELAY_MILLIS;
        return stopped ? List.of(new Command.Stop()) : List.of();
    }
}
