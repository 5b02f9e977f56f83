package org.amaranthlock.standin.fleet;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/** Caller of one request, which goes to another entry host with each try. */
public final class LoadClient {
    private static final Logger LOG = Logger.getLogger(LoadClient.class);
    private static final int MAX_ATTEMPTS = 12;
    private static final long RETRY_DELAY_MILLIS = 250;
    private static final int READ_TIMEOUT_MILLIS = 15_000;

    private final List<String> entryHosts;
    private final List<String> refusedAttempts = new ArrayList<>();
    private int nextEntryHost;

    private record Response(int status, String body, boolean complete) {}

    /** Creates a caller that begins with the entry host at index {@code first}. */
    public LoadClient(List<String> entries, int first) {
        this.entryHosts = entries;
        this.nextEntryHost = first;
    }

    /** Returns the ids of the attempts that were answered with a promise that they did not run and never will. */
    public List<String> refusedAttempts() {
        return refusedAttempts;
    }

    /** Sends a stream and resumes it until it is complete. */
    public LoadOutcome stream(String id) {
        StringBuilder received = new StringBuilder();
        int tries = 0;
        for (; tries < MAX_ATTEMPTS; tries++) {
            int last = received.toString().split("\n\n", -1).length - 2;
            String resume = last < 0 ? "" : "Last-Event-Id: " + last + "\r\n";
            Response reply = call("POST /draft/x", id + "-" + tries, resume, id);
            if (reply.status() == 200) {
                int end = reply.body().lastIndexOf("\n\n");
                received.append(end < 0 ? "" : reply.body().substring(0, end + 2));
                if (reply.complete()) {
                    break;
                }
            }
            pause();
        }
        StringBuilder expected = new StringBuilder();
        for (int number = 0; number < FleetWorker.EVENTS_PER_STREAM; number++) {
            expected.append(FleetWorker.streamEvent(number, id));
        }
        if (tries == MAX_ATTEMPTS) {
            return LoadOutcome.LOST_STREAM;
        }
        if (!received.toString().contentEquals(expected)) {
            return LoadOutcome.WRONG;
        }
        return tries == 0 ? LoadOutcome.COMPLETE : LoadOutcome.RESUMED;
    }

    /** Sends an order and repeats it only after a promise that it did not run. */
    public LoadOutcome order(String id) {
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            String attempt = id + "-" + tries;
            Response reply = call("POST /order/x", attempt, "", "pallet");
            if (reply.status() == 200) {
                return checkBody(reply, attempt);
            }
            // Only a promise that the order did not run, or a connection that was never opened, allows another try.
            if (reply.status() != 503 && reply.status() != NOT_CONNECTED) {
                return LoadOutcome.UNKNOWN;
            }
            if (reply.status() == 503) {
                refusedAttempts.add(attempt);
            }
            pause();
        }
        return LoadOutcome.REFUSED;
    }

    /** Sends a lookup and repeats it after any failure. */
    public LoadOutcome lookup(String id) {
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            String attempt = id + "-" + tries;
            Response reply = call("GET /look/x", attempt, "", "");
            if (reply.status() == 200 && reply.complete()) {
                return checkBody(reply, attempt);
            }
            pause();
        }
        return LoadOutcome.REFUSED;
    }

    private static final int NOT_CONNECTED = -1;
    private static final int CONNECTION_LOST = 0;

    private static LoadOutcome checkBody(Response reply, String id) {
        return reply.body().equals("done " + id) ? LoadOutcome.COMPLETE : LoadOutcome.WRONG;
    }

    private Response call(String line, String id, String extra, String body) {
        String[] address = entryHosts.get(nextEntryHost++ % entryHosts.size()).split(":");
        Socket socket;
        try {
            socket = new Socket(address[0], Integer.parseInt(address[1]));
        } catch (IOException e) {
            LOG.debugf("%s: no connection: %s", id, e);
            return new Response(NOT_CONNECTED, "", false);
        }
        try (socket) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String request =
                    line + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Time-Left-Ms: " + READ_TIMEOUT_MILLIS
                            + "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n" + extra + "Content-Length: "
                            + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return readResponse(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            LOG.debugf("%s: broken: %s", id, e);
            return new Response(CONNECTION_LOST, "", false);
        }
    }

    private static Response readResponse(InputStream in) throws IOException {
        String status = WorkerRequest.readLine(in);
        if (status == null) {
            return new Response(CONNECTION_LOST, "", false);
        }
        boolean chunked = false;
        int length = 0;
        for (String field = WorkerRequest.readLine(in);
                field != null && !field.isEmpty();
                field = WorkerRequest.readLine(in)) {
            String name = field.toLowerCase(java.util.Locale.ROOT);
            chunked |= name.startsWith("transfer-encoding:");
            length = name.startsWith("content-length:")
                    ? Integer.parseInt(name.substring(15).trim())
                    : length;
        }
        int code = Integer.parseInt(status.split(" ")[1]);
        if (!chunked) {
            byte[] body = in.readNBytes(length);
            return new Response(code, new String(body, StandardCharsets.ISO_8859_1), body.length == length);
        }
        return readChunks(code, in);
    }

    private static Response readChunks(int code, InputStream in) {
        StringBuilder body = new StringBuilder();
        try {
            for (String size = WorkerRequest.readLine(in); size != null; size = WorkerRequest.readLine(in)) {
                int length = Integer.parseInt(size.trim(), 16);
                if (length == 0) {
                    return new Response(code, body.toString(), true);
                }
                body.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
                WorkerRequest.readLine(in);
            }
        } catch (IOException e) {
            LOG.debugf("a stream broke off: %s", e);
        }
        return new Response(code, body.toString(), false);
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
