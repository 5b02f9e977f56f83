package org.amaranthlock.router;

import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.RequestCommand;
import org.amaranthlock.coordination.RequestCommand.AttachStream;
import org.amaranthlock.coordination.RequestCommand.CallService;
import org.amaranthlock.coordination.RequestCommand.CancelAttempt;
import org.amaranthlock.coordination.RequestCommand.CompleteStream;
import org.amaranthlock.coordination.RequestCommand.DeliverResponse;
import org.amaranthlock.coordination.RequestCommand.DeliverTokens;
import org.amaranthlock.coordination.RequestCommand.OpenStream;
import org.amaranthlock.coordination.RequestCommand.Reconcile;
import org.amaranthlock.coordination.RequestCommand.Refuse;
import org.amaranthlock.coordination.RequestCommand.Supersede;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.router.control.Timeline;
import org.amaranthlock.router.http.ExchangeRegistry;
import org.amaranthlock.router.http.PendingOperatorCalls;
import org.amaranthlock.router.metrics.RouterMetrics;

/** Dispatches the decision core's commands to the components that execute them; called on the control thread only. */
public final class CommandDispatcher {
    private final Transports transports;
    private final ExchangeRegistry exchanges;
    private final PendingOperatorCalls operatorCalls;
    private final Timeline timeline;
    private final RouterMetrics metrics;
    private final Runnable onStop;

    /**
     * Creates a dispatcher.
     *
     * @param transports transports to the platform, the targets and the other routers
     * @param exchanges open requests of clients
     * @param operatorCalls operator calls that wait for a result
     * @param timeline timeline of this process
     * @param metrics metrics of this process
     * @param onStop runs when the graceful shutdown is complete; must not block
     */
    public CommandDispatcher(
            Transports transports,
            ExchangeRegistry exchanges,
            PendingOperatorCalls operatorCalls,
            Timeline timeline,
            RouterMetrics metrics,
            Runnable onStop) {
        this.transports = transports;
        this.exchanges = exchanges;
        this.operatorCalls = operatorCalls;
        this.timeline = timeline;
        this.metrics = metrics;
        this.onStop = onStop;
    }

    /** Starts the execution of a command; never blocks. */
    public void dispatch(Command command) {
        switch (command) {
            case Command.Raise raise ->
                throw new IllegalStateException("The decision core must handle raised events itself: " + raise);
            case Command.SendPeer send -> transports.peers().send(send.to(), send.address(), send.message());
            case Command.RecordTimelineEvent event -> timeline.add(event.kind(), event.subject(), event.text());
            case Command.Stop _ -> onStop.run();
            case ObjectApiCommand objectApiCommand -> transports.platform().execute(objectApiCommand);
            case TargetCommand targetCommand -> transports.targets().execute(targetCommand);
            case OperatorCommand result -> operatorCalls.complete(result);
            case RequestCommand request -> dispatchRequest(request);
        }
    }

    private void dispatchRequest(RequestCommand command) {
        switch (command) {
            case OpenStream open -> {
                // A prefix holds the tokens of earlier attempts, so this attempt continues their generation.
                if (!open.prefix().isEmpty()) {
                    metrics.countResume("continue");
                }
                transports.targets().execute(open);
            }
            case AttachStream attach -> {
                metrics.countResume("attach");
                transports.targets().execute(attach);
            }
            case CancelAttempt cancel -> transports.targets().execute(cancel);
            case CallService call -> transports.targets().execute(call);
            case Reconcile reconcile -> transports.targets().execute(reconcile);
            case DeliverTokens deliver ->
                exchanges
                        .find(deliver.request())
                        .ifPresent(exchange ->
                                exchange.deliver(deliver.originalRequest(), deliver.firstIndex(), deliver.tokens()));
            case CompleteStream complete ->
                exchanges
                        .find(complete.request())
                        .ifPresent(exchange -> exchange.complete(complete.reason(), complete.record()));
            case DeliverResponse deliver ->
                exchanges
                        .find(deliver.request())
                        .ifPresent(exchange -> exchange.respond(deliver.response(), deliver.record()));
            case Refuse refuse ->
                exchanges.find(refuse.request()).ifPresent(exchange -> exchange.refuse(refuse.refusal()));
            case Supersede supersede -> exchanges.find(supersede.request()).ifPresent(exchange -> exchange.supersede());
        }
    }
}
