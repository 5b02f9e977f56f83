package org.amaranthlock.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthlock.standin.fleet.OperatorConfiguration;

/**
 * Entry daemon and many answers of workers to one request each.
 *
 * <p>Each case has a route and two workers of its own, so that no case depends on what the daemon has learned of the
 * workers of another one.
 */
final class WorkerCases implements AutoCloseable {
    /** All requests may be repeated: a case must not depend on what the cases before have used of the budget. */
    private static final String BOUNDS = "repeats-slack = 100000";

    private static final long EVENT_MILLIS = 10;

    /** Longest body of a request, in bytes. */
    static final int MAX_BODY_BYTES = 16 << 20;

    private final EntryFixture fixture = new EntryFixture(0, 0, EVENT_MILLIS, BOUNDS);
    private final List<Case> cases = new ArrayList<>();
    private final List<ScriptedWorker> workers = new ArrayList<>();

    /**
     * Answer of a worker to one request.
     *
     * @param name route, service and request id of the case
     * @param like route of the standard configuration whose requests are like those of the case
     * @param answer what is sent, for a failed assertion
     * @param attempts number of attempts that have reached a worker
     */
    record Case(String name, String like, String answer, ScriptedWorker.Script script, AtomicInteger attempts) {}

    /** Writes the answer to an attempt. */
    interface Script {
        /**
         * Answers an attempt; returns whether the connection is kept open.
         *
         * @param attempt number of the attempt among all of the case, from 1
         */
        boolean answer(ScriptedWorker.Arrival arrival, Socket connection, int attempt) throws IOException;
    }

    /** Adds a case before the start. */
    void add(String like, String answer, Script script) {
        AtomicInteger attempts = new AtomicInteger();
        ScriptedWorker.Script counting =
                (arrival, connection) -> script.answer(arrival, connection, attempts.incrementAndGet());
        cases.add(new Case("c" + cases.size(), like, answer, counting, attempts));
    }

    /** Returns the cases in the order in which they were added. */
    List<Case> all() {
        return cases;
    }

    /** Starts the workers of all cases and waits until the daemon knows them, and a last one that answers. */
    void start() {
        List<Case> all = new ArrayList<>(cases);
        all.add(new Case("last", "look", "", WorkerCases::succeed, new AtomicInteger()));
        ObjectNode configuration = (ObjectNode) OperatorConfiguration.standard(2, "key-1");
        ((ObjectNode) configuration.path("limits")).put("max_body_bytes", MAX_BODY_BYTES);
        for (Case current : all) {
            copyNamed((ArrayNode) configuration.path("routes"), current.like(), current.name())
                    .put("path_prefix", "/" + current.name() + "/")
                    .put("service", current.name());
            String service = current.like().equals("draft") ? "engines" : "desks";
            copyNamed((ArrayNode) configuration.path("services"), service, current.name());
            for (String zone : List.of("a", "b")) {
                ScriptedWorker worker = new ScriptedWorker(current.script());
                workers.add(worker);
                fixture.store.put("servers", current.name() + "-" + zone, worker.registration(current.name(), zone));
            }
        }
        fixture.store.put("config", "main", configuration);
        EntryFixture.await(() -> fixture.call("GET /last/x", "r", "").startsWith("HTTP/1.1 200"));
    }

    /** Sends the request of a case, whose id and body are its name, and returns the whole response. */
    String call(Case current) {
        return call(current, current.name());
    }

    /** Sends the request of a case with another body, and returns the whole response. */
    String call(Case current, String body) {
        String method = current.like().equals("look") ? "GET /" : "POST /";
        return fixture.call(method + current.name() + "/x", current.name(), body);
    }

    @Override
    public void close() throws IOException {
        fixture.close();
        for (ScriptedWorker worker : workers) {
            worker.close();
        }
    }

    private static boolean succeed(ScriptedWorker.Arrival arrival, Socket connection) throws IOException {
        ScriptedWorker.write(connection, ScriptedWorker.success(arrival.id()));
        return true;
    }

    /** Adds a copy of the named entry of a list under another name, and returns it. */
    private static ObjectNode copyNamed(ArrayNode entries, String name, String newName) {
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).path("name").asText().equals(name)) {
                ObjectNode copy = entries.get(i).deepCopy();
                entries.add(copy.put("name", newName));
                return copy;
            }
        }
        throw new IllegalArgumentException("the standard configuration has no \"" + name + "\"");
    }
}
