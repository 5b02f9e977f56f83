package org.amaranthlock.coordination.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.amaranthlock.model.Arguments;

/** Number of retries beyond those that requests allow, which all hosts sent within the last window, as known to this host; not thread-safe. */
public final class RetryUsage {
    private final long windowMillis;
    private final Deque<Long> localRetryMillis = new ArrayDeque<>();
    private final Map<String, RemoteCount> remoteCounts = new HashMap<>();

    private record RemoteCount(int retries, long atMillis) {}

    /** Creates an empty count for a window of the given length. */
    public RetryUsage(long windowMillis) {
        Arguments.requirePositive(windowMillis, "window");
        this.windowMillis = windowMillis;
    }

    /** Replaces the number of retries that another host sent within its last window. */
    public void updateRemote(String host, int retries, long nowMillis) {
        remoteCounts.put(host, new RemoteCount(retries, nowMillis));
    }

    /** Returns the number of retries of this host within the last window, to be reported to other hosts. */
    public int localRetries(long nowMillis) {
        while (!localRetryMillis.isEmpty() && nowMillis - localRetryMillis.peekFirst() >= windowMillis) {
            localRetryMillis.removeFirst();
        }
        return localRetryMillis.size();
    }

    void recordRetry(long nowMillis) {
        localRetryMillis.addLast(nowMillis);
    }

    /** Removes the latest retry, which did not reach a target. */
    void undoLastRetry() {
        localRetryMillis.pollLast();
    }

    /** Returns the number of retries that all hosts sent within the last window. */
    int totalRetries(long nowMillis) {
        remoteCounts.values().removeIf(remote -> nowMillis - remote.atMillis() >= windowMillis);
        return localRetries(nowMillis)
                + remoteCounts.values().stream().mapToInt(RemoteCount::retries).sum();
    }
}
