package org.amaranthlock.entry.log;

import java.util.logging.Handler;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sends all log lines to standard output from a thread of its own, so that a blocked reader blocks nobody else. */
public final class LogOutput {
    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %p %s%e%n";

    /** Lines that wait for the output; further ones are discarded. */
    private static final int QUEUE_LINES = 2_000;

    private LogOutput() {}

    /** Selects the log manager; effective only before the first logger is used. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    /** Replaces the handlers of the root logger. */
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
