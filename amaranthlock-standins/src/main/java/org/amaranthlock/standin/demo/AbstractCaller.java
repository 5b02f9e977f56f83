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
import org.amaranthlock.standin.demo.RequestResult.Ending;

/** A caller that takes its request to another router after a lost connection and returns after a refusal. */
abstract class AbstractCaller implements Callable<RequestResult> {
    /** Bound on returns after refusals and lost connections together. */
    private static final int MAX_TRIES = 40;

    /** Time after which a caller gives up, in milliseconds; the demo must end within a minute. */
    private static final long GIVE_UP_MILLIS = 30_000;

    /** Length up to which a failure is reported; the HTTP library's messages are long. */
    private static final int MAX_DETAIL = 200;

    /** Pause before another router is asked, in milliseconds; a dead router would be asked in a busy loop else. */
    private static final long RECONNECT_MILLIS = 250;

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
        long deadline = Timing.monotonicMillis() + GIVE_UP_MILLIS;
        int refusals = 0;
        Ending ending = Ending.INCOMPLETE;
        String detail = "";
        while (refusals + reconnects < MAX_TRIES && Timing.monotonicMillis() < deadline) {
            try {
                Optional<Problem> problem = attempt(routers.caller(router), headers());
                if (problem.isEmpty()) {
                    return result(Ending.COMPLETE, detail);
                }
                detail = problem.get().toString();
                ending = problem.get().ending(started());
                boolean startsOver = startsOver(problem.get());
                if (!startsOver && !problem.get().retriable()) {
                    break;
                }
                refusals++;
                Timing.sleep(problem.get().waitMillis());
            } catch (IOException e) {
                detail = e.getMessage()
                        .substring(0, Math.min(MAX_DETAIL, e.getMessage().length()));
                ending = lostConnection();
                reconnects++;
                Timing.sleep(RECONNECT_MILLIS);
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
    abstract Optional<Problem> attempt(StreamingHttpClient caller, Map<String, String> headers) throws IOException;

    /** Tells whether the caller drops what it got and asks anew after a refusal; if so, it is ready to do that. */
    boolean startsOver(Problem problem) {
        return false;
    }

    /** Returns the idempotency key. */
    String key() {
        return label;
    }

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
        headers.put("Idempotency-Key", key());
        return headers;
    }
}
