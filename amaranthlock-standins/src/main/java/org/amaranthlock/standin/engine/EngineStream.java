package org.amaranthlock.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Token stream of one attempt, readable from any position during and after generation. Thread-safe. */
final class EngineStream {
    private final StreamRequest request;
    private final String nonce;
    private final int firstIndex;
    private final List<String> tokens = new ArrayList<>();
    private String endReason;
    private int readers;
    private long unreadSinceMillis;

    /** Consecutive tokens of a stream. {@code endReason} is {@code null} while more tokens may follow. */
    record Chunk(List<String> tokens, String endReason, int endIndex) {}

    EngineStream(StreamRequest request, String nonce, long nowMillis) {
        this.request = request;
        this.nonce = nonce;
        this.firstIndex = request.prefix().size();
        this.unreadSinceMillis = nowMillis;
    }

    StreamRequest request() {
        return request;
    }

    /** Returns the index of the first token that this stream generates. */
    int firstIndex() {
        return firstIndex;
    }

    /** Generates the next token, or returns {@code false} if the stream has ended. */
    synchronized boolean generateNext() {
        if (endReason != null) {
            return false;
        }
        int next = firstIndex + tokens.size();
        if (next < request.responseTokens()) {
            tokens.add(VerifiableToken.of(request.seed(), next, nonce).text());
            next++;
        }
        if (next >= request.responseTokens()) {
            endReason = request.endReason();
        }
        notifyAll();
        return true;
    }

    /** Ends the stream before its last token. Has no effect if it has already ended. */
    synchronized void end(String reason) {
        if (endReason == null) {
            endReason = reason;
            notifyAll();
        }
    }

    synchronized boolean hasEnded() {
        return endReason != null;
    }

    /** Waits until tokens from the given index on exist, the stream has ended or the timeout has expired. */
    synchronized Chunk awaitTokens(int from, long timeoutMillis) throws InterruptedException {
        if (endReason == null && firstIndex + tokens.size() <= from) {
            wait(timeoutMillis);
        }
        int end = firstIndex + tokens.size();
        List<String> available =
                from < end ? List.copyOf(tokens.subList(from - firstIndex, end - firstIndex)) : List.of();
        return new Chunk(available, endReason, end);
    }

    synchronized void addReader() {
        readers++;
    }

    synchronized void removeReader(long nowMillis) {
        readers--;
        unreadSinceMillis = nowMillis;
    }

    /** Returns whether the stream has had no reader for at least the given time. */
    synchronized boolean isUnreadFor(long millis, long nowMillis) {
        return readers == 0 && nowMillis - unreadSinceMillis >= millis;
    }
}
