package org.amaranthlock.entry.control;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.amaranthlock.coordination.promptpart.PromptPartReport;
import org.amaranthlock.coordination.targetlimit.PermitDecision;
import org.amaranthlock.coordination.targetlimit.PermitRequest;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerListener;
import org.amaranthlock.entry.relay.RelayClient;
import org.amaranthlock.entry.relay.RelayServer;

/** Dispatches messages from peers to the components that handle them. */
public final class PeerMessageDispatcher implements PeerListener {
    private final StoreQueries storeQueries;
    private final PermitQueryClient permitQueryClient;
    private final PermitQueryHandler permitQueryHandler;
    private final ReservationQueries reservationQueries;
    private final StreamVersionExchange streamVersionExchange;
    private final RelayClient relayClient;
    private final RelayServer relayServer;
    private final Executor trafficLoop;
    private final LoadReportExchange loadReportExchange;
    private final ReportListeners reportListeners;
    private final Consumer<String> connectionListener;
    private final LongConsumer versionListener;

    /** Handles the permit requests of other hosts. */
    @FunctionalInterface
    public interface PermitQueryHandler {
        /** Decides on a request and passes the decision to {@code reply}, on any thread. */
        void handle(PermitRequest request, Consumer<PermitDecision> reply);
    }

    /**
     * Queries for reservations of engines.
     *
     * @param client sends those of this host
     * @param server answers those of other hosts, on any thread; does not answer if this host grants none
     */
    public record ReservationQueries(
            ReservationQueryClient client,
            BiConsumer<EntryPeerMessage.ReservationQuery, Consumer<EntryPeerMessage>> server) {
        /** Checks that both are present. */
        public ReservationQueries {
            Objects.requireNonNull(client, "client");
            Objects.requireNonNull(server, "server");
        }
    }

    /**
     * Listeners for reports of other hosts.
     *
     * @param promptParts receives reports on prompt parts
     * @param rollouts receives messages on roll-outs
     */
    public record ReportListeners(Consumer<PromptPartReport> promptParts, RolloutListener rollouts) {
        /** Checks that both are present. */
        public ReportListeners {
            Objects.requireNonNull(promptParts, "prompt part listener");
            Objects.requireNonNull(rollouts, "roll-out listener");
        }
    }

    /**
     * Creates a dispatcher.
     *
     * @param trafficLoop runs the calls of {@code relayServer}
     * @param reportListeners listeners for reports of other hosts
     * @param connectionListener receives the name of a host when a connection to it has been opened or closed, or when
     *     it has told which messages it reads
     * @param versionListener receives the versions of the configuration that other hosts know
     */
    public PeerMessageDispatcher(
            StoreQueries storeQueries,
            PermitQueryClient permitQueryClient,
            PermitQueryHandler permitQueryHandler,
            ReservationQueries reservationQueries,
            StreamVersionExchange streamVersionExchange,
            RelayClient relayClient,
            RelayServer relayServer,
            Executor trafficLoop,
            LoadReportExchange loadReportExchange,
            ReportListeners reportListeners,
            Consumer<String> connectionListener,
            LongConsumer versionListener) {
        this.storeQueries = Objects.requireNonNull(storeQueries, "store queries");
        this.permitQueryClient = Objects.requireNonNull(permitQueryClient, "permit query client");
        this.permitQueryHandler = Objects.requireNonNull(permitQueryHandler, "permit query handler");
        this.reservationQueries = Objects.requireNonNull(reservationQueries, "reservation queries");
        this.streamVersionExchange = Objects.requireNonNull(streamVersionExchange, "stream version exchange");
        this.relayClient = Objects.requireNonNull(relayClient, "relay client");
        this.relayServer = Objects.requireNonNull(relayServer, "relay server");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.reportListeners = Objects.requireNonNull(reportListeners, "report listeners");
        this.connectionListener = Objects.requireNonNull(connectionListener, "connection listener");
        this.versionListener = Objects.requireNonNull(versionListener, "version listener");
        this.loadReportExchange = Objects.requireNonNull(loadReportExchange, "load report exchange");
    }

    @Override
    public void onMessage(EntryPeerMessage message, Consumer<EntryPeerMessage> reply) {
        switch (message) {
            case EntryPeerMessage.LoadReport loadReport -> loadReportExchange.onReport(loadReport);
            case EntryPeerMessage.ReportBundle bundle -> loadReportExchange.onBundle(bundle);
            case EntryPeerMessage.LinkCheck check -> reply.accept(new EntryPeerMessage.LinkChecked(check.id()));
            case EntryPeerMessage.PromptParts parts ->
                reportListeners.promptParts().accept(parts.report());
            case EntryPeerMessage.RolloutGranted granted ->
                reportListeners.rollouts().onGrant(granted.grant());
            case EntryPeerMessage.RolloutSeen seen -> reportListeners.rollouts().onEvidence(seen.evidence());
            case EntryPeerMessage.RolloutOrdersTold told ->
                reportListeners.rollouts().onOrders(told);
            case EntryPeerMessage.ConfigurationQuery query ->
                storeQueries.server().handleQuery(query, reply);
            case EntryPeerMessage.ConfigurationAnnounced announced -> versionListener.accept(announced.version());
            case EntryPeerMessage.TargetsQuery query -> storeQueries.server().handleQuery(query, reply);
            case EntryPeerMessage.ConfigurationFetch query ->
                storeQueries.fetchServer().handleQuery(query, reply);
            case EntryPeerMessage.StartQuery query -> storeQueries.startServer().handleQuery(query, reply);
            case EntryPeerMessage.PermitQuery query ->
                permitQueryHandler.handle(
                        query.request(),
                        decision -> reply.accept(new EntryPeerMessage.PermitDecided(query.id(), decision)));
            case EntryPeerMessage.ReservationQuery query ->
                reservationQueries.server().accept(query, reply);
            case EntryPeerMessage.StreamsBegun begun -> streamVersionExchange.onAnnounced(begun);
            case EntryPeerMessage.StreamsQuery query -> streamVersionExchange.onQuery(query, reply);
            case EntryPeerMessage.StreamVersionQuery query -> streamVersionExchange.onQuery(query, reply);
            case EntryPeerMessage.RelayRequest request -> {
                versionListener.accept(request.configurationVersion());
                trafficLoop.execute(() -> relayServer.onRequest(request, reply));
            }
            case EntryPeerMessage.RelayCancel cancel ->
                trafficLoop.execute(() -> relayServer.onCancel(cancel.id(), reply));
            case EntryPeerMessage.Unsupported unsupported ->
                throw new IllegalArgumentException("message type " + unsupported.type() + " is not supported");
            case EntryPeerMessage.Response _ ->
                throw new IllegalArgumentException(
                        "response received on an inbound connection, which carries no queries of this host");
        }
    }

    @Override
    public void onResponse(EntryPeerMessage.Response response) {
        switch (response) {
            case EntryPeerMessage.PermitDecided decided -> permitQueryClient.onDecided(decided);
            case EntryPeerMessage.EngineReserved reserved ->
                reservationQueries.client().onReserved(reserved);
            case EntryPeerMessage.StreamVersionAnswered answered -> streamVersionExchange.onAnswered(answered);
            case EntryPeerMessage.StreamsTold told -> streamVersionExchange.onTold(told);
            case EntryPeerMessage.RelayResponse relayed -> relayClient.onResponse(relayed);
            case EntryPeerMessage.StartState state -> storeQueries.start().onState(state);
            case EntryPeerMessage.LinkChecked checked -> loadReportExchange.onChecked(checked);
            default -> storeQueries.client().onResponse(response);
        }
    }

    @Override
    public void onInboundClosed(Consumer<EntryPeerMessage> reply) {
        trafficLoop.execute(() -> relayServer.onConnectionClosed(reply));
    }

    @Override
    public void onConnectionOpened(String peer) {
        connectionListener.accept(peer);
    }

    @Override
    public void onMessageLevelChanged(String peer) {
        storeQueries.client().onPeerResponsive(peer);
        connectionListener.accept(peer);
    }

    @Override
    public void onConnectionClosed(String peer) {
        storeQueries.client().onPeerLost(peer, "link-closed");
        permitQueryClient.onConnectionClosed(peer);
        reservationQueries.client().onConnectionClosed(peer);
        relayClient.onConnectionClosed(peer);
        connectionListener.accept(peer);
    }
}
