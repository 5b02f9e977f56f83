package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.Json;
import org.amaranthlock.standin.StreamingHttpClient;
import org.amaranthlock.standin.Timing;

/** Reads outcome records and timelines from the routers, and executions from the order desks. */
final class OutcomeRecordReader {
    /**
     * Time limit, from the first read, within which all records must be readable, in milliseconds. Routers are
     * required to provide a record within seconds.
     */
    private static final long RECORD_TIMEOUT_MILLIS = 8_000;

    private static final long POLL_MILLIS = 200;

    private final ClientPool routers;
    private final Map<String, String> headers;
    private long deadlineMillis = Long.MIN_VALUE;

    OutcomeRecordReader(ClientPool routers, String operatorKey) {
        this.routers = routers;
        this.headers = Map.of("Authorization", "Bearer " + operatorKey);
    }

    /** Reads the record of a request from any available router, or returns a missing node if none appears in time. */
    JsonNode outcomeRecord(String requestId) {
        if (deadlineMillis == Long.MIN_VALUE) {
            deadlineMillis = Timing.monotonicMillis() + RECORD_TIMEOUT_MILLIS;
        }
        while (true) {
            for (int router = 0; router < routers.size(); router++) {
                JsonNode record = fetch(router, "/admin/accounts/" + requestId);
                if (!record.isMissingNode()) {
                    return record;
                }
            }
            if (Timing.monotonicMillis() >= deadlineMillis) {
                return MissingNode.getInstance();
            }
            Timing.sleep(POLL_MILLIS);
        }
    }

    /** Merges the timelines of all available routers in the order of their hybrid clocks. */
    List<JsonNode> timeline() {
        List<JsonNode> events = new ArrayList<>();
        for (int router = 0; router < routers.size(); router++) {
            fetch(router, "/admin/timeline").forEach(events::add);
        }
        events.sort(Comparator.comparingLong(event -> event.path("hybridTime").asLong()));
        return events;
    }

    /** Returns the number of executions per idempotency key, summed over all desks. */
    static Map<String, Integer> executions(ClientPool desks) throws IOException {
        Map<String, Integer> executions = new HashMap<>();
        for (int desk = 0; desk < desks.size(); desk++) {
            StreamingHttpClient.Response response =
                    desks.client(desk).send("GET", "/executions", Map.of(), new byte[0]);
            Json.parse(response.body())
                    .properties()
                    .forEach(entry -> executions.merge(
                            withoutAccount(entry.getKey()), entry.getValue().asInt(), Integer::sum));
        }
        return executions;
    }

    private JsonNode fetch(int router, String requestTarget) {
        try {
            StreamingHttpClient.Response response =
                    routers.client(router).send("GET", requestTarget, headers, new byte[0]);
            return response.status() == 200 ? Json.parse(response.body()) : MissingNode.getInstance();
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /**
     * Strips the account from a key: routers may send the ledger key {@code account/key} instead of the client's key.
     */
    private static String withoutAccount(String key) {
        return key.substring(key.lastIndexOf('/') + 1);
    }
}
