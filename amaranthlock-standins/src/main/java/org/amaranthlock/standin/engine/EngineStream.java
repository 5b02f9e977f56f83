package org.amaranthlock.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Tokens of one attempt, readable from any position while and after they are generated; thread-safe. */
final class EngineStream {
    private final StreamRequest request;
    private final String nonce;
    private final int start;
    private final List<String> tokens = new ArrayList<>();
    private String endReason;
    private int readers;
    private long unreadSinceMillis;

    /** Part of a stream; {@code endReason} is null while more tokens may follow. */
    record Part(List<String> tokens, String endReason, int end) {}

    EngineStream(StreamRequest request, String nonce, long nowMillis) {
        this.request = request;
        this.nonce = nonce;
        this.start = request.prefix().size();
        this.unreadSinceMillis = nowMillis;
    }

    StreamRequest request() {
        return request;
    }

    /** Returns the index of the first token that this stream generates. */
    int start() {
        return start;
    }

    /** Generates the next token; false if the stream has ended. */
    synchronized boolean generate() {
        if (endReason != null) {
            return false;
        }
        int next = start + tokens.size();
        if (next < request.answerTokens()) {
            tokens.add(TokenText.of(request.seed(), next, nonce).text());
            next++;
        }
        if (next >= request.answerTokens()) {
            endReason = request.endReason();
        }
        notifyAll();
        return true;
    }

    /** Ends the stream early; does nothing if it has ended. */
    synchronized void end(String reason) {
        if (endReason == null) {
            endReason = reason;
            notifyAll();
        }
    }

    synchronized boolean ended() {
        return endReason != null;
    }

    /** Waits until there are tokens from an index on, the stream has ended or the time is over. */
    synchronized Part await(int from, long timeoutMillis) throws InterruptedException {
        if (endReason == null && start + tokens.size() <= from) {
            wait(timeoutMillis);
        }
        int end = start + tokens.size();
        List<String> part = from < end ? List.copyOf(tokens.subList(from - start, end - start)) : List.of();
        return new Part(part, endReason, end);
    }

    synchronized void readerJoined() {
        readers++;
    }

    synchronized void readerLeft(long nowMillis) {
        readers--;
        unreadSinceMillis = nowMillis;
    }

    /** Tells whether nobody has read the stream for a time. */
    synchronized boolean unreadFor(long millis, long nowMillis) {
        return readers == 0 && nowMillis - unreadSinceMillis >= millis;
    }
}
