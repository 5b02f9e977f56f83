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
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
    private final Handler[] originalHandlers = root.getHandlers();
    private final CountDownLatch unblocked = new CountDownLatch(1);

    @AfterEach
    void restore() {
        unblocked.countDown();
        root.setHandlers(originalHandlers);
    }

    // Guards against requests that block because the reader of standard output is blocked.
    @Test
    void blockedOutputDoesNotBlockWriter() {
        LogOutput.configure();
        assertThat(root.getHandlers()).hasLength(1);
        AsyncHandler async = (AsyncHandler) root.getHandlers()[0];
        BlockingHandler handler = new BlockingHandler(unblocked);
        async.setHandlers(new Handler[] {handler});
        long[] clock = {0};
        DecisionLog log = new DecisionLog(Logger.getLogger("blocked-output"), () -> clock[0] += 1_000);
        assertTimeoutPreemptively(TIMEOUT, () -> {
            for (int i = 0; i < LINES; i++) {
                log.write("sent", "id", i);
            }
        });
        assertThat(handler.published.get()).isAtMost(1);
    }

    private static final class BlockingHandler extends Handler {
        final AtomicInteger published = new AtomicInteger();
        private final CountDownLatch unblocked;

        BlockingHandler(CountDownLatch unblocked) {
            this.unblocked = unblocked;
        }

        @Override
        public void publish(LogRecord logRecord) {
            published.incrementAndGet();
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void flush() {
            // Entries are not buffered.
        }

        @Override
        public void close() {
            unblocked.countDown();
        }
    }
}
