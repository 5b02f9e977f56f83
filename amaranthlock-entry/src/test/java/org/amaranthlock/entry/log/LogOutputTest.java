package org.amaranthlock.entry.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.jboss.logging.Logger;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogOutputTest {
    private static final int LINES = 20_000;
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
    private final Handler[] before = root.getHandlers();
    private final CountDownLatch reading = new CountDownLatch(1);

    @AfterEach
    void restore() {
        reading.countDown();
        root.setHandlers(before);
    }

    // Guards against requests that wait because nobody reads the log.
    @Test
    void anOutputThatBlocksNeverBlocksTheWriter() {
        LogOutput.configure();
        assertThat(root.getHandlers()).hasLength(1);
        AsyncHandler async = (AsyncHandler) root.getHandlers()[0];
        BlockedReader blocked = new BlockedReader(reading);
        async.setHandlers(new Handler[] {blocked});
        long[] clock = {0};
        DecisionLog log = new DecisionLog(Logger.getLogger("blocked-output"), () -> clock[0] += 1_000);
        assertTimeoutPreemptively(LIMIT, () -> {
            for (int i = 0; i < LINES; i++) {
                log.write("sent", "id", i);
            }
        });
        assertThat(blocked.published.get()).isAtMost(1);
    }

    private static final class BlockedReader extends Handler {
        final AtomicInteger published = new AtomicInteger();
        private final CountDownLatch reading;

        BlockedReader(CountDownLatch reading) {
            this.reading = reading;
        }

        @Override
        public void publish(LogRecord entry) {
            published.incrementAndGet();
            try {
                reading.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void flush() {
            // Nothing is held back.
        }

        @Override
        public void close() {
            reading.countDown();
        }
    }
}
