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
import org.amaranthlock.router.http.OperatorCalls;
import org.amaranthlock.router.metrics.RouterMetrics;

/** Hands the decision core's commands to those who carry them out; called on the control thread only. */
public final class CommandDispatcher {
    private final Transports transports;
    private final ExchangeRegistry exchanges;
    private final OperatorCalls operators;
    private final Timeline timeline;
    private final RouterMetrics metrics;
    private final Runnable onStop;

    /**
     * Creates a dispatcher.
     *
     * @param transports connections to platform, targets and other routers
     * @param exchanges open requests of callers
     * @param operators open calls of operators
     * @param timeline timeline of this process
     * @param metrics metrics of this process
     * @param onStop runs when the graceful shutdown is complete; must not block
     */
    public CommandDispatcher(
            Transports transports,
            ExchangeRegistry exchanges,
            OperatorCalls operators,
            Timeline timeline,
            RouterMetrics metrics,
            Runnable onStop) {
        this.transports = transports;
        this.exchanges = exchanges;
        this.operators = operators;
        this.timeline = timeline;
        this.metrics = metrics;
        this.onStop = onStop;
    }

    /** Starts carrying out a command; never blocks. */
    public void dispatch(Command command) {
        switch (command) {
            case Command.Raise raise ->
                throw new IllegalStateException("The core must handle raised events itself: " + raise);
            case Command.SendPeer send -> transports.peers().send(send.to(), send.address(), send.message());
            case Command.RecordTimelineEvent trace -> timeline.add(trace.kind(), trace.subject(), trace.text());
            case Command.Stop _ -> onStop.run();
            case ObjectApiCommand operation -> transports.platform().execute(operation);
            case TargetCommand order -> transports.targets().execute(order);
            case OperatorCommand answer -> operators.answer(answer);
            case RequestCommand request -> dispatchRequest(request);
        }
    }

    private void dispatchRequest(RequestCommand command) {
        switch (command) {
            case OpenStream open -> {
                if (!open.prefix().isEmpty()) {
                    metrics.resumed("continue");
                }
                transports.targets().execute(open);
            }
            case AttachStream attach -> {
                metrics.resumed("attach");
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
