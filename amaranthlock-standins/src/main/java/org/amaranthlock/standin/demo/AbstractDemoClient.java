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

/** A caller that takes its request to another router after a lost connection and returns after a refusal. */
abstract class AbstractDemoClient implements Callable<RequestResult> {
    /** Bound on returns after refusals and lost connections together. */
    private static final int MAX_RETRIES = 40;

    /** Time after which a caller gives up, in milliseconds; the demo must end within a minute. */
    private static final long TIMEOUT_MILLIS = 30_000;

    /** Length up to which a failure is reported; the HTTP library's messages are long. */
    private static final int MAX_DETAIL_LENGTH = 200;

    /** Pause before another router is asked, in milliseconds; a dead router would be asked in a busy loop else. */
    private static final long RECONNECT_DELAY_MILLIS = 250;

    private final ClientPool routers;
    private final String accountKey;
    private final String label;
    private final Set<String> requestIds = new LinkedHashSet<>();
    private int router;
    private int reconnects;

    AbstractDemoClient(ClientPool routers, String accountKey, String label, int firstRouter) {
        this.routers = routers;
        this.accountKey = accountKey;
        this.label = label;
        this.router = firstRouter;
    }

    @Override
    public final RequestResult call() {
        long deadline = Timing.monotonicMillis() + TIMEOUT_MILLIS;
        int refusals = 0;
        Outcome ending = Outcome.INCOMPLETE;
        String detail = "";
        while (refusals + reconnects < MAX_RETRIES && Timing.monotonicMillis() < deadline) {
            try {
                Optional<ProblemDetails> problem = attempt(routers.client(router), headers());
                if (problem.isEmpty()) {
                    return result(Outcome.COMPLETE, detail);
                }
                detail = problem.get().toString();
                ending = problem.get().outcome(responseStarted());
                boolean startsOver = prepareRestart(problem.get());
                if (!startsOver && !problem.get().retriable()) {
                    break;
                }
                refusals++;
                Timing.sleep(problem.get().retryDelayMillis());
            } catch (IOException e) {
                detail = e.getMessage()
                        .substring(0, Math.min(MAX_DETAIL_LENGTH, e.getMessage().length()));
                ending = outcomeAfterConnectionLoss();
                reconnects++;
                Timing.sleep(RECONNECT_DELAY_MILLIS);
            }
            router++;
        }
        return result(ending, detail);
    }

    /**
     * Sends the request to a router once.
     *
     * @return empty if the answer is complete, else the refusal
     * @throws IOException if the connection was lost
     */
    abstract Optional<ProblemDetails> attempt(StreamingHttpClient caller, Map<String, String> headers)
            throws IOException;

    /** Tells whether the caller drops what it got and asks anew after a refusal; if so, it is ready to do that. */
    boolean prepareRestart(ProblemDetails problem) {
        return false;
    }

    /** Returns the idempotency key. */
    String idempotencyKey() {
        return label;
    }

    /** Tells whether a part of the answer has arrived. */
    abstract boolean responseStarted();

    /** Returns the ending if the last connection was lost and none follows. */
    abstract Outcome outcomeAfterConnectionLoss();

    /** Creates the result. */
    abstract RequestResult result(Outcome ending, String detail);

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
