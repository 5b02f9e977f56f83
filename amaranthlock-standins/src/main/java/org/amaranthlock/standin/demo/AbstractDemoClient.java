package org.amaranthlock.standin.demo;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.demo.RequestResult.Outcome;

/** Base class for demo clients, which retry a request at the next router after a connection loss or a rejection. */
abstract class AbstractDemoClient implements Callable<RequestResult> {
    /** Maximum number of attempts; rejections and connection losses are counted together. */
    private static final int MAX_ATTEMPTS = 40;

    /** Time limit for a request with all its retries, in milliseconds; the demo must end within a minute. */
    private static final long TIMEOUT_MILLIS = 30_000;

    /** Maximum length of a reported failure message, in characters; messages of the HTTP library are long. */
    private static final int MAX_DETAIL_LENGTH = 200;

    /** Delay before a reconnect, in milliseconds, which avoids a busy loop while a router is down. */
    private static final long RECONNECT_DELAY_MILLIS = 250;

    private final ClientPool routers;
    private final String accountKey;
    private final String label;
    private final Set<String> requestIds = new LinkedHashSet<>();
    private int routerIndex;
    private int reconnects;

    AbstractDemoClient(ClientPool routers, String accountKey, String label, int firstRouter) {
        this.routers = routers;
        this.accountKey = accountKey;
        this.label = label;
        this.routerIndex = firstRouter;
    }

    @Override
    public final RequestResult call() {
        long deadline = Timing.monotonicMillis() + TIMEOUT_MILLIS;
        int rejections = 0;
        Outcome outcome = Outcome.INCOMPLETE;
        String detail = "";
        while (rejections + reconnects < MAX_ATTEMPTS && Timing.monotonicMillis() < deadline) {
            try {
                Optional<ProblemDetails> problem = attempt(routers.client(routerIndex), headers());
                if (problem.isEmpty()) {
                    return result(Outcome.COMPLETE, detail);
                }
                detail = problem.get().toString();
                outcome = problem.get().outcome(responseStarted());
                boolean restart = prepareRestart(problem.get());
                if (!restart && !problem.get().retriable()) {
                    break;
                }
                rejections++;
                Timing.sleep(problem.get().retryDelayMillis());
            } catch (IOException e) {
                detail = e.getMessage()
                        .substring(0, Math.min(MAX_DETAIL_LENGTH, e.getMessage().length()));
                outcome = outcomeAfterConnectionLoss();
                reconnects++;
                Timing.sleep(RECONNECT_DELAY_MILLIS);
            }
            routerIndex++;
        }
        return result(outcome, detail);
    }

    /**
     * Sends the request to a router a single time.
     *
     * @return empty if the response is complete, otherwise the problem with which the router rejected the request
     * @throws IOException if the connection was lost
     */
    abstract Optional<ProblemDetails> attempt(StreamingHttpClient client, Map<String, String> headers)
            throws IOException;

    /**
     * Returns whether the client discards the response received so far and sends a new request after a rejection. If
     * so, resets the client for the new request, which has another idempotency key.
     */
    boolean prepareRestart(ProblemDetails problem) {
        return false;
    }

    /** Returns the idempotency key of the next attempt. */
    String idempotencyKey() {
        return label;
    }

    /** Returns whether a part of the response has been received. */
    abstract boolean responseStarted();

    /** Returns the outcome if the connection was lost and the request is not retried. */
    abstract Outcome outcomeAfterConnectionLoss();

    /** Creates the result of the request. */
    abstract RequestResult result(Outcome outcome, String detail);

    String label() {
        return label;
    }

    Set<String> requestIds() {
        return requestIds;
    }

    int reconnects() {
        return reconnects;
    }

    void addRequestId(String id) {
        if (id != null && !id.isEmpty()) {
            requestIds.add(id);
        }
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Authorization", "Bearer " + accountKey);
        headers.put("Content-Type", "application/json");
        headers.put("Idempotency-Key", idempotencyKey());
        return headers;
    }
}
