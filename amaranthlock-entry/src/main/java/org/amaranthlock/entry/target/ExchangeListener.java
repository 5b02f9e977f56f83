package org.amaranthlock.entry.target;

import java.util.List;
import org.amaranthlock.coordination.forwarding.StreamEvent;
import org.amaranthlock.coordination.forwarding.TargetResponse;

/** Listener for the outcome of one request to a target. */
public interface ExchangeListener {
    /** Called when the exchange has failed before any byte of the request was sent. */
    void onNotSent(String cause);

    /** Called when the exchange has ended without a completed response after bytes of the request were sent. */
    void onLost(String cause);

    /** Called when the response is complete. */
    void onResponse(TargetResponse response);

    /** Called when the head of an event stream has arrived. */
    void onStreamOpened(TargetResponse head);

    /** Called when complete events of the stream have arrived. */
    void onEvents(List<StreamEvent> events);

    /** Called when the event stream has ended normally. */
    void onStreamEnded();
}
