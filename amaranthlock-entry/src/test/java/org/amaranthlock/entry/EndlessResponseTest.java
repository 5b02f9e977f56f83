package org.amaranthlock.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.WorkerFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the complete daemon with workers that send bytes until their connection is closed. */
class EndlessResponseTest {
    /** The largest response that is buffered, and what the operating system buffers beyond it. */
    private static final long MAX_READ_BYTES = 24L << 20;

    /** What may be read of bytes that are no part of a response, with what the operating system buffers. */
    private static final long MAX_SKIPPED_BYTES = 16L << 20;

    private static final long STANDSTILL_NANOS = 500_000_000;

    private EntryFixture fixture;

    @AfterEach
    void close() {
        fixture.close();
    }

    // Guards against a worker that fills the memory of a host, or keeps it from serving other clients.
    @ParameterizedTest
    @EnumSource(
            value = WorkerFault.class,
            names = {
                "ENDLESS_HEADER",
                "ENDLESS_HEADER_LINES",
                "ENDLESS_BLANK_LINES",
                "ENDLESS_INTERIM_RESPONSES",
                "ENDLESS_BODY",
                "ENDLESS_SMALL_CHUNKS",
                "ENDLESS_FOREIGN_RESPONSE"
            })
    void lookupIsServedByAnotherWorker(WorkerFault fault) {
        fixture = new EntryFixture(2, 0);
        FleetWorker faulty = fixture.desks.getFirst();
        faulty.injectFault(fault);
        for (int i = 0; faulty.endlessByteCount() == 0; i++) {
            assertThat(fixture.call("GET /look/x", "r" + i, "")).endsWith("done r" + i);
        }
        EntryFixture.await(() -> !faulty.sendsEndlessly());
        assertThat(faulty.endlessByteCount())
                .isLessThan(fault == WorkerFault.ENDLESS_BODY ? MAX_READ_BYTES : MAX_SKIPPED_BYTES);
    }

    // Guards against bytes that nobody waits for, which a kept connection would read as long as the worker sends them.
    @Test
    void bytesAfterAResponseEndTheirConnection() {
        fixture = new EntryFixture(1, 0);
        FleetWorker faulty = fixture.desks.getFirst();
        faulty.injectFault(WorkerFault.ENDLESS_BLANK_LINES_AFTER_RESPONSE);
        assertThat(fixture.call("GET /look/x", "r", "")).endsWith("done r");
        EntryFixture.await(() -> !faulty.sendsEndlessly());
        assertThat(faulty.endlessByteCount()).isLessThan(MAX_SKIPPED_BYTES);
    }

    // Guards against a response that takes the processor from other clients by its many parts.
    @Test
    void smallChunksDoNotDelayOtherClients() {
        fixture = new EntryFixture(3, 0);
        FleetWorker faulty = fixture.desks.getFirst();
        IntStream.range(0, 8).forEach(_ -> faulty.injectFault(WorkerFault.ENDLESS_SMALL_CHUNKS));
        List<CompletableFuture<String>> responses = IntStream.range(0, 24)
                .mapToObj(i -> fixture.callAsync("GET /look/x", "r" + i, ""))
                .toList();
        for (int i = 0; i < responses.size(); i++) {
            assertThat(responses.get(i).join()).endsWith("done r" + i);
        }
        EntryFixture.await(() -> !faulty.sendsEndlessly());
        assertThat(faulty.endlessByteCount()).isLessThan(8 * MAX_SKIPPED_BYTES);
    }

    @ParameterizedTest
    @EnumSource(
            value = WorkerFault.class,
            names = {"ENDLESS_EVENT", "ENDLESS_LINES", "ENDLESS_INTERIM_RESPONSES"})
    void streamIsServedByAnotherEngine(WorkerFault fault) {
        fixture = new EntryFixture(0, 2);
        FleetWorker faulty = fixture.engines.getFirst();
        faulty.injectFault(fault);
        for (int i = 0; faulty.endlessByteCount() == 0; i++) {
            assertThat(EntryFixture.events(fixture.call("POST /draft/x", "s" + i, "prompt")))
                    .isEqualTo(allEvents("prompt"));
        }
        EntryFixture.await(() -> !faulty.sendsEndlessly());
        assertThat(faulty.endlessByteCount()).isLessThan(MAX_SKIPPED_BYTES);
    }

    // Guards against an engine that takes the processor, and all time of a stream, by an event that the client has
    // already.
    @Test
    void streamGoesOnAtAnotherEngineWhenOneRepeatsAnEvent() {
        fixture = new EntryFixture(1, 2);
        FleetWorker faulty = fixture.engines.getFirst();
        for (int i = 0; faulty.endlessByteCount() == 0; i++) {
            faulty.injectFault(WorkerFault.ENDLESS_REPEATED_EVENT);
            assertThat(EntryFixture.events(fixture.call("POST /draft/x", "s" + i, "prompt")))
                    .contains("id: " + (FleetWorker.EVENTS_PER_STREAM - 1) + "\n");
            assertThat(fixture.call("GET /look/x", "r" + i, "")).endsWith("done r" + i);
        }
        EntryFixture.await(() -> !faulty.sendsEndlessly());
        assertThat(faulty.endlessByteCount()).isLessThan(MAX_SKIPPED_BYTES);
    }

    // Guards against other clients of the same event loop that wait while endless bytes are read.
    @Test
    void otherClientsAreServedMeanwhile() {
        fixture = new EntryFixture(3, 2);
        fixture.engines.forEach(engine -> engine.injectFault(WorkerFault.ENDLESS_LINES));
        fixture.desks.getFirst().injectFault(WorkerFault.ENDLESS_BODY);
        CompletableFuture<String> stream = fixture.callAsync("POST /draft/x", "s1", "prompt");
        for (int i = 0; i < 20; i++) {
            assertThat(fixture.call("GET /look/x", "r" + i, "")).endsWith("done r" + i);
        }
        assertThat(stream.join()).isNotEmpty();
    }

    // Guards against memory that grows with the sum over all connections.
    @Test
    void manyEndlessBodiesAtOnceAreBoundedTogether() {
        fixture = new EntryFixture(6, 0);
        fixture.desks
                .subList(0, 5)
                .forEach(desk -> IntStream.range(0, 4).forEach(_ -> desk.injectFault(WorkerFault.ENDLESS_BODY)));
        for (int i = 0; i < 20; i++) {
            fixture.callAsync("GET /look/x", "r" + i, "");
        }
        EntryFixture.await(() -> fixture.desks.stream().noneMatch(FleetWorker::sendsEndlessly)
                && fixture.desks.stream()
                                .mapToLong(FleetWorker::endlessByteCount)
                                .sum()
                        > 0);
        assertThat(fixture.call("GET /look/x", "last", "")).endsWith("done last");
    }

    // Guards against a client that does not read, for which an endless stream is kept in memory, and against a stream
    // that is ended because its client reads late.
    @Test
    void streamOfClientThatDoesNotReadIsReadNoFurtherUntilItReads() throws IOException {
        fixture = new EntryFixture(0, 1);
        FleetWorker engine = fixture.engines.getFirst();
        engine.injectFault(WorkerFault.ENDLESS_STREAM);
        try (Socket client = fixture.open("POST /draft/x", "s1", "prompt")) {
            awaitStandstill(engine);
            long unread = engine.endlessByteCount();
            assertWithMessage("bytes sent while the client does not read")
                    .that(unread)
                    .isLessThan(MAX_READ_BYTES);
            assertThat(engine.sendsEndlessly()).isTrue();
            byte[] buffer = new byte[64 * 1024];
            for (long read = 0; engine.endlessByteCount() == unread; ) {
                int count = client.getInputStream().read(buffer);
                assertWithMessage("bytes after %s", read).that(count).isGreaterThan(0);
                read += count;
            }
        }
        EntryFixture.await(() -> !engine.sendsEndlessly());
    }

    /** Waits until the worker has not been able to send anything for some time. */
    private static void awaitStandstill(FleetWorker worker) {
        long[] last = {0, System.nanoTime()};
        EntryFixture.await(() -> {
            long sent = worker.endlessByteCount();
            if (sent != last[0]) {
                last[0] = sent;
                last[1] = System.nanoTime();
            }
            return sent > 0 && System.nanoTime() - last[1] > STANDSTILL_NANOS;
        });
    }

    private static String allEvents(String body) {
        StringBuilder events = new StringBuilder();
        for (int number = 0; number < FleetWorker.EVENTS_PER_STREAM; number++) {
            events.append(FleetWorker.streamEvent(number, body));
        }
        return events.toString();
    }
}
