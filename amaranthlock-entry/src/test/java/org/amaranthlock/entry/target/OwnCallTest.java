package org.amaranthlock.entry.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.entry.ScriptedWorker;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the calls of a host itself, which have no id, with an engine that writes an earlier answer once more. */
class OwnCallTest {
    private static final long WAIT_SECONDS = 10;
    private static final int CALLS = 4;

    private final EventLoopGroup loops = new NioEventLoopGroup(1);
    private final BlockingQueue<Optional<String>> copies = new LinkedBlockingQueue<>();
    private final Map<Integer, String> lastAnswers = new ConcurrentHashMap<>();
    private final TargetConnectionPool pool = new TargetConnectionPool(
            loops.next(), ResponseMemory.ofHeap(), () -> 0, new EntryMetrics(), (_, _) -> {}, RegionLinks.none());
    private ScriptedWorker engine;

    @AfterEach
    void close() throws IOException {
        engine.close();
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    // Guards against a stream that goes on from the memory of another one, whose copy the engine names once more.
    @Test
    void earlierAnswerIsNotTakenForThatToTheNextCall() throws InterruptedException {
        engine = ScriptedWorker.answeringCalls((arrival, connection) -> {
            String answer =
                    ScriptedWorker.response(200, "", "", "{\"handle\":\"of " + requestId(arrival.body()) + "\"}");
            Optional<String> earlier = Optional.ofNullable(lastAnswers.put(arrival.connection(), answer));
            ScriptedWorker.write(connection, earlier.orElse("") + answer);
            return true;
        });
        for (int i = 0; i < CALLS; i++) {
            assertThat(copyOf("stream-" + i)).hasValue("of stream-" + i);
        }
    }

    // Guards against an engine that seems to refuse what it has done.
    @Test
    void earlierRefusalIsNotTakenForTheAnswerToTheNextCall() throws InterruptedException {
        engine = ScriptedWorker.answeringCalls((arrival, connection) -> {
            boolean refuses = arrival.body().contains("refused");
            String answer = refuses
                    ? ScriptedWorker.refusal("")
                    : ScriptedWorker.response(200, "", "", "{\"handle\":\"of " + requestId(arrival.body()) + "\"}");
            Optional<String> earlier = Optional.ofNullable(lastAnswers.put(arrival.connection(), answer));
            ScriptedWorker.write(connection, earlier.orElse("") + answer);
            return true;
        });
        for (int i = 0; i < CALLS; i++) {
            assertThat(copyOf("refused-" + i)).isEmpty();
            assertThat(copyOf("stream-" + i)).hasValue("of stream-" + i);
        }
    }

    // Guards against an answer that a worker breaks off in its head, or in its body, and that counts as whole.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void cutAnswerIsNoAnswer(boolean reset) throws InterruptedException, IOException {
        String answer = ScriptedWorker.response(200, "", ScriptedWorker.STAMP, "{\"handle\":\"h\"}");
        for (int length = 1; length < answer.length(); length++) {
            String part = answer.substring(0, length);
            engine = ScriptedWorker.answeringCalls((_, connection) -> {
                ScriptedWorker.write(connection, part);
                if (reset) {
                    ScriptedWorker.resetOnClose(connection);
                }
                return false;
            });
            assertWithMessage(part).that(copyOf("stream")).isEmpty();
            engine.close();
        }
    }

    // As above, for an answer that ends with the connection.
    @Test
    void answerWithoutLengthThatIsResetIsNoAnswer() throws InterruptedException, IOException {
        engine = ScriptedWorker.answeringCalls((_, connection) -> {
            ScriptedWorker.write(connection, "HTTP/1.1 200 OK\r\n\r\n{\"handle\":\"h\"}");
            ScriptedWorker.resetOnClose(connection);
            return false;
        });
        for (int i = 0; i < CALLS; i++) {
            assertThat(copyOf("stream-" + i)).isEmpty();
        }
    }

    // Guards against the memory of a stream that is taken from bytes that are no answer.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 0200 x",
                "HTTP/1.1 2000 x",
                "HTTP/2.0 200 x",
                "HTTP/1.1 101 x",
                "HTTP/1.1 200 OK\r\nX-A b: v",
                "HTTP/1.1 200 OK\r\nX\u0001A: v"
            })
    void answerThatIsNoneIsNoAnswer(String beginning) throws InterruptedException {
        engine = ScriptedWorker.answeringCalls((_, connection) -> {
            ScriptedWorker.write(connection, beginning + "\r\nContent-Length: 14\r\n\r\n{\"handle\":\"h\"}");
            return true;
        });
        assertThat(copyOf("stream")).isEmpty();
    }

    private Optional<String> copyOf(String requestId) throws InterruptedException {
        EntryTarget target = target("engine-1", engine.port());
        EntryTarget backup = target("engine-2", 1);
        loops.next().execute(() -> pool.copyKvCache(requestId, target, backup, copies::add));
        return copies.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns the id of the request whose memory a call names, as the first text after its name. */
    private static String requestId(String body) {
        return body.split("\"")[3];
    }

    private static EntryTarget target(String id, int port) {
        return new EntryTarget(
                new TargetId(id),
                new ServiceName("engines"),
                "127.0.0.1",
                port,
                new FailureDomain("a"),
                8,
                false,
                0,
                1,
                SoftwareVersion.UNKNOWN);
    }
}
