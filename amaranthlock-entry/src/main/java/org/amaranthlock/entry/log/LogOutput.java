package org.amaranthlock.entry.log;

import java.util.logging.Handler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures logging to standard output from a separate thread, so that a blocked reader blocks no logging thread. */
public final class LogOutput {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %p %s%e%n";

    /** Capacity of the output queue, in lines; further lines are discarded. */
    private static final int QUEUE_LINES = 2_000;

    private LogOutput() {}

    /** Selects the log manager; has an effect only before the first use of a logger. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    /** Replaces the handlers of the root logger with an asynchronous console handler. */
    public static void configure() {
        ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter(PATTERN));
        console.setAutoFlush(true);
        AsyncHandler async = new AsyncHandler(QUEUE_LINES);
        async.setCloseChildren(false);
        async.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        async.addHandler(console);
        org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
        root.setHandlers(new Handler[] {async});
        root.setLevel(Level.INFO);
    }
}
