package org.amaranthlock.standin.fleet;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/** Client that sends one request and uses the next entry host for each attempt. */
public final class LoadClient {
    private static final Logger LOG = Logger.getLogger(LoadClient.class);
    private static final int MAX_ATTEMPTS = 12;
    private static final long RETRY_DELAY_MILLIS = 250;
    private static final int READ_TIMEOUT_MILLIS = 15_000;

    private final List<String> entryHosts;
    private final List<String> versions;
    private final List<String> rejectedAttempts = new ArrayList<>();
    private int nextEntryHost;

    private record Response(int status, String body, boolean complete) {}

    /**
     * Creates a client.
     *
     * @param entryHosts addresses of the entry hosts, IP:PORT
     * @param firstEntryHost index of the entry host for the first attempt
     */
    public LoadClient(List<String> entryHosts, int firstEntryHost) {
        this(entryHosts, firstEntryHost, List.of(FleetWorker.FIRST_VERSION));
    }

    /**
     * Creates a client.
     *
     * @param versions software versions of the engines; a stream must come from one of them
     */
    public LoadClient(List<String> entryHosts, int firstEntryHost, List<String> versions) {
        this.versions = versions;
        this.entryHosts = entryHosts;
        this.nextEntryHost = firstEntryHost;
    }

    /** Returns the ids of the order attempts that were rejected with 503, which guarantees that they never run. */
    public List<String> rejectedAttempts() {
        return rejectedAttempts;
    }

    /** Requests a stream and resumes it until it is complete. */
    public LoadOutcome stream(String id) {
        StringBuilder received = new StringBuilder();
        String beginningAttempt = "";
        int attempts = 0;
        for (; attempts < MAX_ATTEMPTS; attempts++) {
            int lastEvent = received.toString().split("\n\n", -1).length - 2;
            String resume =
                    lastEvent < 0 ? "" : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + beginningAttempt + "\r\n";
            Response response = call("POST /draft/x", id + "-" + attempts, resume, id);
            if (response.status() == 200) {
                int end = response.body().lastIndexOf("\n\n");
                beginningAttempt = received.isEmpty() && end >= 0 ? id + "-" + attempts : beginningAttempt;
                received.append(end < 0 ? "" : response.body().substring(0, end + 2));
                if (response.complete()) {
                    break;
                }
            }
            pause();
        }
        boolean complete = attempts < MAX_ATTEMPTS;
        if (versions.stream().noneMatch(version -> isFromVersion(received, id, version, complete))) {
            return LoadOutcome.WRONG;
        }
        if (!complete) {
            return LoadOutcome.LOST_STREAM;
        }
        return attempts == 0 ? LoadOutcome.COMPLETE : LoadOutcome.RESUMED;
    }

    /** Returns whether a stream, or what has arrived of it, holds the events of engines of one version only. */
    private static boolean isFromVersion(CharSequence received, String id, String version, boolean complete) {
        StringBuilder expected = new StringBuilder();
        for (int number = 0; number < FleetWorker.EVENTS_PER_STREAM; number++) {
            expected.append(FleetWorker.streamEvent(number, id, version));
        }
        return complete
                ? expected.toString().contentEquals(received)
                : expected.toString().startsWith(received.toString());
    }

    /** Sends an order and retries it only if it is known not to have run. */
    public LoadOutcome order(String id) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String attemptId = id + "-" + attempt;
            Response response = call("POST /order/x", attemptId, "", "pallet");
            if (response.status() == 200) {
                return checkBody(response, attemptId);
            }
            // A retry is safe only after a 503, which guarantees "not run", or if no connection was opened.
            if (response.status() != 503 && response.status() != NOT_CONNECTED) {
                return LoadOutcome.UNKNOWN;
            }
            if (response.status() == 503) {
                rejectedAttempts.add(attemptId);
            }
            pause();
        }
        return LoadOutcome.REFUSED;
    }

    /** Sends a lookup and retries it after any failure. */
    public LoadOutcome lookup(String id) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String attemptId = id + "-" + attempt;
            Response response = call("GET /look/x", attemptId, "", "");
            if (response.status() == 200 && response.complete()) {
                return checkBody(response, attemptId);
            }
            pause();
        }
        return LoadOutcome.REFUSED;
    }

    /** Status of an attempt for which no connection could be opened, so that the request cannot have run. */
    private static final int NOT_CONNECTED = -1;

    /** Status of an attempt whose connection was lost before a response, so that the request may have run. */
    private static final int CONNECTION_LOST = 0;

    private static LoadOutcome checkBody(Response response, String id) {
        return response.body().equals("done " + id) ? LoadOutcome.COMPLETE : LoadOutcome.WRONG;
    }

    private Response call(String requestLine, String id, String extraHeaders, String body) {
        String[] address = entryHosts.get(nextEntryHost++ % entryHosts.size()).split(":");
        Socket socket;
        try {
            socket = new Socket(address[0], Integer.parseInt(address[1]));
        } catch (IOException e) {
            LOG.debugf("Request %s: could not connect to entry host %s: %s", id, String.join(":", address), e);
            return new Response(NOT_CONNECTED, "", false);
        }
        try (socket) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String request = requestLine + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Time-Left-Ms: "
                    + READ_TIMEOUT_MILLIS
                    + "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n" + extraHeaders + "Content-Length: "
                    + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return readResponse(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            LOG.debugf("Request %s: connection to entry host %s failed: %s", id, String.join(":", address), e);
            return new Response(CONNECTION_LOST, "", false);
        }
    }

    private static Response readResponse(InputStream in) throws IOException {
        String statusLine = WorkerRequest.readLine(in);
        if (statusLine == null) {
            return new Response(CONNECTION_LOST, "", false);
        }
        boolean chunked = false;
        int length = 0;
        for (String field = WorkerRequest.readLine(in);
                field != null && !field.isEmpty();
                field = WorkerRequest.readLine(in)) {
            String lowerCaseField = field.toLowerCase(java.util.Locale.ROOT);
            chunked |= lowerCaseField.startsWith("transfer-encoding:");
            length = lowerCaseField.startsWith("content-length:")
                    ? Integer.parseInt(lowerCaseField.substring(15).trim())
                    : length;
        }
        int code = Integer.parseInt(statusLine.split(" ")[1]);
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
            LOG.debugf("Connection lost before the last chunk of a response: %s", e);
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
