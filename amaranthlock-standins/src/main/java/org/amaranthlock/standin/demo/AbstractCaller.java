package org.amaranthlock.standin.demo;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import org.amaranthlock.standin.HttpCaller;
import org.amaranthlock.standin.Timing;
import org.amaranthlock.standin.demo.RequestResult.Ending;

/** A caller that takes its request to another router after a lost connection and returns after a refusal. */
abstract class AbstractCaller implements Callable<RequestResult> {
    /** Bound on returns after a refusal, and on lost connections. */
    private static final int MAX_TRIES = 12;

    /** Pause before another router is asked, in milliseconds; a dead router would be asked in a busy loop else. */
    private static final long RECONNECT_MILLIS = 100;

    private final RouterPool routers;
    private final String accountKey;
    private final String label;
    private final Set<String> requestIds = new LinkedHashSet<>();
    private int router;
    private int reconnects;

    AbstractCaller(RouterPool routers, String accountKey, String label, int firstRouter) {
        this.routers = routers;
        this.accountKey = accountKey;
        this.label = label;
        this.router = firstRouter;
    }

    @Override
    public final RequestResult call() {
        int refusals = 0;
        Ending ending = Ending.INCOMPLETE;
        String detail = "";
        while (refusals < MAX_TRIES && reconnects < MAX_TRIES) {
            try {
                Optional<Problem> problem = attempt(routers.caller(router), headers());
                if (problem.isEmpty()) {
                    return result(Ending.COMPLETE, detail);
                }
                detail = problem.get().toString();
                ending = problem.get().ending(started());
                if (!problem.get().retriable()) {
                    break;
                }
                refusals++;
                Timing.delay(problem.get().waitMillis());
            } catch (IOException e) {
                detail = e.getMessage();
                ending = lostConnection();
                reconnects++;
                Timing.delay(RECONNECT_MILLIS);
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
    abstract Optional<Problem> attempt(HttpCaller caller, Map<String, String> headers) throws IOException;

    /** Tells whether a part of the answer has arrived. */
    abstract boolean started();

    /** Returns the ending if the last connection was lost and none follows. */
    abstract Ending lostConnection();

    /** Creates the result. */
    abstract RequestResult result(Ending ending, String detail);

    String label() {
        return label;
    }

    Set<String> requestIds() {
        return requestIds;
    }

    int reconnects() {
        return reconnects;
    }

    void noteRequestId(String id) {
        if (id != null && !id.isEmpty()) {
            requestIds.add(id);
        }
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Authorization", "Bearer " + accountKey);
        headers.put("Content-Type", "application/json");
        headers.put("Idempotency-Key", label);
        return headers;
    }
}
