package org.amaranthlock.entry;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EventStreamSplitter;
import org.amaranthlock.coordination.forwarding.MalformedStreamException;
import org.amaranthlock.coordination.forwarding.RelayedRequest;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.relay.RelayListener;

/** Passes what becomes of one attempt at another host to the state machine of the request. */
final class RelayResponses implements RelayListener {
    private final RelayedRequest request;
    private final int attempt;
    private final LongSupplier clockMillis;
    private final EventStreamSplitter splitter = new EventStreamSplitter();

    RelayResponses(RelayedRequest request, int attempt, LongSupplier clockMillis) {
        this.request = Objects.requireNonNull(request, "request");
        this.attempt = attempt;
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
    }

    @Override
    public void onNotSent(String cause) {
        request.onNotSent(attempt, cause, now());
    }

    @Override
    public void onLost(String cause) {
        request.onLost(attempt, cause, now());
    }

    @Override
    public void onResponse(EntryPeerMessage.RelayResponse response) {
        switch (response) {
            case EntryPeerMessage.RelayAnswered answered -> request.onResponse(attempt, answered.response(), now());
            case EntryPeerMessage.RelayRejected rejected ->
                request.onRejected(attempt, rejected.rejection(), rejected.anotherHost(), now());
            case EntryPeerMessage.RelayStreamOpened opened ->
                request.onStreamOpened(attempt, opened.head(), opened.version());
            case EntryPeerMessage.RelayEvents events -> onEvents(events.events());
            case EntryPeerMessage.RelayStreamEnded _ -> request.onStreamEnded(attempt, now());
            case EntryPeerMessage.RelayAborted _ -> request.onLost(attempt, "broken-off", now());
        }
    }

    private void onEvents(byte[] bytes) {
        try {
            request.onEvents(attempt, splitter.add(bytes), now());
        } catch (MalformedStreamException e) {
            boolean noNumber = e.reason().equals(MalformedStreamException.NO_NUMBER);
            request.onLost(attempt, noNumber ? "event-without-number" : "event-too-long", now());
        }
    }

    private long now() {
        return clockMillis.getAsLong();
    }
}
