package org.amaranthlock.coordination.forwarding;

/** What a forwarded request asks of its surroundings. */
public interface ForwardingPort {
    /** Sends the request to a target. */
    void send(Attempt attempt);

    /** Breaks off an attempt; its target is to stop working on it. */
    void cancel(Attempt attempt);

    /** Checks whether the host of a target accepts connections; the result comes back for {@code attempt}. */
    void probe(Attempt attempt);

    /** Checks after a delay whether the target of a lost attempt accepts connections. */
    void checkCrash(Attempt attempt, long delayMillis);

    /** Asks the engine of an attempt to copy the run's memory to another engine; the result comes back for both. */
    void copyKvCache(Attempt attempt, EntryTarget holder);

    /** Has a copy freed that {@link #copyKvCache} made for an attempt and nothing will use. */
    void freeCopy(Attempt attempt, KvCacheCopy copy);

    /** Asks the engine of an attempt for its report; the result comes back for {@code attempt}. */
    void requestEngineReport(Attempt attempt);

    /** Asks for a call of {@link ForwardedRequest#onTimer} at a time; replaces an earlier wish. */
    void scheduleTimer(long atMillis);

    /** Gives the client a whole answer of a target. */
    void respond(TargetResponse answer);

    /** Gives the client a final answer of this system's own. */
    void reject(Rejection rejection);

    /** Starts an event stream to the client. */
    void openStream(TargetResponse head);

    /** Passes on whole events. */
    void writeEvents(byte[] events);

    /** Ends an event stream that is complete. */
    void endStream();

    /** Closes the client's connection so that the answer is recognizably incomplete. */
    void abort();

    /** Notes a decision, for the log. */
    void recordDecision(ForwardingDecision decision);
}
