package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the complete daemon with workers whose first answer to a request is none in HTTP, and whose next one is sound.
 *
 * <p>An order that got such an answer may have run, so that it ends as failed; other requests go to the next worker.
 */
class MalformedResponseTest {
    private static final String WORKER_TEXT = "text of the worker";
    private static final String WORKER_EVENT = "id: 0\ndata: " + WORKER_TEXT + "\n\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    private final WorkerCases cases = new WorkerCases();

    @AfterEach
    void close() throws IOException {
        cases.close();
    }

    // Guards against a status that the worker did not send (RFC 9112, section 4; RFC 9110, section 15).
    @ParameterizedTest
    @ValueSource(strings = {"look", "order", "draft"})
    void responseWithoutAStatusIsNoAnswer(String like) {
        for (String line : List.of(
                "HTTP/1.1 000 x",
                "HTTP/1.1 099 x",
                "HTTP/1.1 600 x",
                "HTTP/1.1 999 x",
                "HTTP/1.1 20 x",
                "HTTP/1.1 2000 x",
                "HTTP/1.1 0200 x",
                "HTTP/1.1 +200 x",
                "HTTP/1.1 -200 x",
                "HTTP/1.1 200.0 x",
                "HTTP/1.1 200OK",
                "HTTP/1.1 OK",
                "HTTP/1.1 200",
                "HTTP/1.1",
                "HTTP/1.1  200 x",
                "HTTP/1.1\t200\tx",
                "HTTP/1.1 200\u000bx",
                "HTTP/1.1 200 x\u0000y",
                "HTTP/1.1 200 x\ry",
                "HTTP/1.1 200 x\u007f",
                "http/1.1 200 x",
                "HTTP/0.9 200 x",
                "HTTP/2.0 200 x",
                "HTTP/1.10 200 x",
                " HTTP/1.1 200 x",
                "\r\nHTTP/1.1 200 x",
                "\u0001HTTP/1.1 200 x")) {
            addCases(like, line, "");
        }
        addCases(like, "HTTP/1.1 0503 x", "X-Not-Run: 1\r\nRetry-After: 1\r\n");
        addCases(like, "HTTP/1.1 +429 x", "X-Not-Run: 1\r\nServer-Leaving: 1\r\n");
        checkNoneIsPassedOn();
    }

    // Guards against a request that waits until its time limit for an answer that will not come: after a change of the
    // protocol, which nobody asked for, no bytes are HTTP.
    @ParameterizedTest
    @ValueSource(strings = {"look", "order", "draft"})
    void changeOfTheProtocolIsNoAnswer(String like) {
        String upgrade = "HTTP/1.1 101 Switching Protocols\r\n";
        addOpenCase(like, upgrade + "\r\n");
        addOpenCase(like, upgrade + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n");
        addOpenCase(like, upgrade + "Upgrade: websocket\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n\r\n");
        checkNoneIsPassedOn();
    }

    // Guards against a field that the worker did not send, which is read from a part of a line (RFC 9112, section 5).
    @ParameterizedTest
    @ValueSource(strings = {"look", "order", "draft"})
    void responseWithALineThatIsNoFieldIsNoAnswer(String like) {
        for (String line : List.of(
                "X-A b: v",
                "X-A\tb: v",
                "X-A b : v",
                "X-Server-Stamp x: v",
                "Retry-After x: 9",
                "Connection x: close",
                "X-Request-Id x: other",
                "Transfer-Encoding x: gzip",
                "Content-Length x: 1",
                "X-A",
                ": v",
                " : v",
                "X\u0000A: v",
                "X\u0001A: v",
                "X\u007fA: v",
                "X\rA: v",
                "X\u000bA: v",
                "X\u00e9A: v",
                "X(A: v",
                "X\"A: v",
                "X-A: v\u0000w",
                "X-A: v\u0001w",
                "X-A: v\rw")) {
            addCases(like, "HTTP/1.1 200 OK", line + "\r\n");
        }
        addCases(like, "HTTP/1.1 200 OK\r\n X-A: v", "");
        addCases(like, "HTTP/1.1 503 x", "X-Not-Run x: 1\r\nX-Not-Run: 1\r\n");
        checkNoneIsPassedOn();
    }

    // Guards against a body that ends where the worker did not end it: the size of a chunk is no hexadecimal number,
    // does
    // not fit in 32 bits or is followed by something else (RFC 9112, section 7.1).
    @ParameterizedTest
    @ValueSource(strings = {"look", "order", "draft"})
    void responseWithAChunkOfUnknownSizeIsNoAnswer(String like) {
        String text = like.equals("draft") ? WORKER_EVENT : WORKER_TEXT;
        String size = Integer.toHexString(text.length());
        for (String line : List.of(
                "1" + "0".repeat(8 - size.length()) + size,
                "f" + "0".repeat(16 - size.length()) + size,
                "80000000",
                size + " 5",
                size + "\t5",
                size + "\u0000",
                size + "\r",
                size + "\u000b",
                size + ";x\u0000",
                " " + size,
                "+" + size,
                "-" + size,
                "0x" + size,
                size + "g",
                "",
                ";x")) {
            addCase(like, head(like, "HTTP/1.1 200 OK", "") + CHUNKED + line + "\r\n" + text + "\r\n0\r\n\r\n");
        }
        for (String lastLine : List.of("0 5", "0\u0000", " 0", "+0", "100000000")) {
            if (!like.equals("draft")) { // the events before the end of a stream are passed on
                addCase(like, chunkedResponse(like) + lastLine + "\r\n\r\n");
            }
        }
        checkNoneIsPassedOn();
    }

    @ParameterizedTest
    @ValueSource(strings = {"look", "order"})
    void responseWithATrailerThatIsNoFieldIsNoAnswer(String like) {
        for (String line : List.of("X-A b: v", "X-A", ": v", " : v", "X\u0001A: v", "X-A: v\u0000")) {
            addCase(like, chunkedResponse(like) + "0\r\n" + line + "\r\n\r\n");
        }
        checkNoneIsPassedOn();
    }

    /** Adds cases with the lines before and after the usual headers, for each way in which a body can end. */
    private void addCases(String like, String statusLine, String headers) {
        String head = head(like, statusLine, headers);
        String text = like.equals("draft") ? WORKER_EVENT : WORKER_TEXT;
        addCase(like, head + "Content-Length: " + text.length() + "\r\n\r\n" + text);
        addCase(like, head + CHUNKED + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n");
        addCase(like, head + "\r\n" + text);
        addCase(like, head + "Content-Length: 0\r\n\r\n");
    }

    /** Returns the beginning of a head, without the lines that say where the body ends. */
    private static String head(String like, String statusLine, String headers) {
        String type = like.equals("draft") ? "text/event-stream" : "application/json";
        return statusLine + "\r\n" + headers + "X-Request-Id: ID\r\n" + ScriptedWorker.STAMP + "Content-Type: " + type
                + "\r\n";
    }

    /** Returns a success with one chunk and without its end. */
    private static String chunkedResponse(String like) {
        String chunk = Integer.toHexString(WORKER_TEXT.length()) + "\r\n" + WORKER_TEXT + "\r\n";
        return head(like, "HTTP/1.1 200 OK", "") + CHUNKED + chunk;
    }

    private void addCase(String like, String answer) {
        addCase(like, answer, answer.contains("Content-Length") || answer.contains("chunked"));
    }

    /** Adds a case whose connection stays open although the answer does not say where it ends. */
    private void addOpenCase(String like, String answer) {
        addCase(like, answer, true);
    }

    private void addCase(String like, String answer, boolean keepsOpen) {
        cases.add(like, answer, (arrival, connection, attempt) -> {
            if (attempt > 1) {
                ScriptedWorker.write(
                        connection, like.equals("draft") ? wholeStream(arrival) : ScriptedWorker.success(arrival.id()));
                return true;
            }
            ScriptedWorker.write(connection, answer.replace("ID", arrival.id()));
            return keepsOpen;
        });
    }

    private static String wholeStream(ScriptedWorker.Arrival arrival) {
        String event = FleetWorker.streamEvent(0, arrival.id());
        return ScriptedWorker.response(
                200, arrival.id(), ScriptedWorker.STAMP + "Content-Type: text/event-stream\r\n", event);
    }

    private void checkNoneIsPassedOn() {
        cases.start();
        List<String> faults = new ArrayList<>();
        for (WorkerCases.Case current : cases.all()) {
            String response = cases.call(current);
            String expected = current.like().equals("order") ? "HTTP/1.1 502 " : "HTTP/1.1 200 OK\r\n";
            int expectedAttempts = current.like().equals("order") ? 1 : 2;
            if (!response.startsWith(expected)
                    || response.contains(WORKER_TEXT)
                    || current.attempts().get() != expectedAttempts) {
                faults.add(current.answer().replace("\u0000", "NUL") + "\n-> " + current.attempts() + " attempts, "
                        + response);
            }
        }
        assertThat(faults).isEmpty();
    }
}
