package org.amaranthlock.entry.target;

import java.util.List;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;

/** Learns what becomes of one request that was sent to a target. */
public interface ExchangeListener {
    /** No byte of the request was sent. */
    void onNotSent(String cause);

    /** The exchange ended without a whole answer after bytes had been sent. */
    void onLost(String cause);

    /** The whole answer has come. */
    void onResponse(TargetResponse answer);

    /** The head of an event stream has come. */
    void onStreamOpened(TargetResponse head);

    /** Whole events of the stream have come. */
    void onEvents(List<StreamEvent> events);

    /** The event stream has ended regularly. */
    void onStreamEnded();
}
