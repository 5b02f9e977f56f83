package org.amaranthlock.router.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures JBoss LogManager to write all log records to standard error, as text or as JSON lines. */
public final class LogSetup {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p [%c{1}] %s%e%n";

    // Lines beyond this bound are discarded: a stalled reader of the log must not block the control thread, which logs
    // too.
    private static final int MAX_QUEUED_LINES = 10_000;

    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private static volatile Thread writerThread;

    private LogSetup() {}

    /** Selects JBoss LogManager; has an effect only before the first logger is created. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    /**
     * Replaces the handlers of the root logger.
     *
     * @param json whether to write JSON lines
     * @param level minimum level, as a JBoss LogManager level name such as {@code INFO}
     */
    public static void configure(boolean json, String level) {
        ConsoleHandler handler = new ConsoleHandler(
                ConsoleHandler.Target.SYSTEM_ERR, json ? new JsonFormatter() : new PatternFormatter(PATTERN));
        handler.setAutoFlush(true);
        Level minimumLevel = LogContext.getLogContext().getLevelForName(level);
        handler.setLevel(minimumLevel);
        org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
        AsyncHandler async = new AsyncHandler(MAX_QUEUED_LINES, task -> {
            writerThread = Thread.ofPlatform().name("amaranthlock-log").daemon().unstarted(task);
            return writerThread;
        });
        async.setCloseChildren(false);
        async.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        async.addHandler(handler);
        async.setLevel(minimumLevel);
        root.setHandlers(new Handler[] {async});
        root.setLevel(minimumLevel);
    }

    /** Flushes the queued lines and closes the handlers; called immediately before the process exits. */
    public static void close() {
        for (Handler handler : LogContext.getLogContext().getLogger("").getHandlers()) {
            handler.close();
        }
        Thread thread = writerThread;
        if (thread == null) {
            return;
        }
        // Closing the handler only signals its thread to write the queued lines and to terminate.
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
