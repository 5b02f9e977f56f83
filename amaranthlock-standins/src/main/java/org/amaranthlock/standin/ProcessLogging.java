package org.amaranthlock.standin;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Log levels of the processes of the demo. */
public final class ProcessLogging {
    /** Kept, because a logger that nothing refers to loses its level. */
    private static final Logger SERVICETALK = Logger.getLogger("io.servicetalk");

    private ProcessLogging() {}

    /** Keeps the HTTP library's notes about lost connections, which the demo causes on purpose, off the output. */
    public static void disableHttpLibraryLogging() {
        SERVICETALK.setLevel(Level.OFF);
    }
}
