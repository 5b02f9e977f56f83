package org.amaranthlock.coordination.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.amaranthlock.model.Arguments;

/** Repeats that the hosts sent within the last window, as far as this host has heard; not thread-safe. */
public final class RetryUsage {
    private final long windowMillis;
    private final Deque<Long> localRetries = new ArrayDeque<>();
    private final Map<String, RemoteCount> others = new HashMap<>();

    private record RemoteCount(int retries, long atMillis) {}

    /** Creates an empty count over a window. */
    public RetryUsage(long windowMillis) {
        Arguments.requirePositive(windowMillis, "window");
        this.windowMillis = windowMillis;
    }

    /** Takes what another host has sent within its last window. */
    public void updateRemote(String host, int repeats, long nowMillis) {
        others.put(host, new RemoteCount(repeats, nowMillis));
    }

    /** Returns the repeats of this host within the last window, to be told to the others. */
    public int localRetries(long nowMillis) {
        while (!localRetries.isEmpty() && nowMillis - localRetries.peekFirst() >= windowMillis) {
            localRetries.removeFirst();
        }
        return localRetries.size();
    }

    void recordRetry(long nowMillis) {
        localRetries.addLast(nowMillis);
    }

    /** Takes the newest repeat back, which reached no target. */
    void undoLastRetry() {
        localRetries.pollLast();
    }

    int totalCount(long nowMillis) {
        others.values().removeIf(told -> nowMillis - told.atMillis() >= windowMillis);
        return localRetries(nowMillis)
                + others.values().stream().mapToInt(RemoteCount::retries).sum();
    }
}
