package org.amaranthlock.standin;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures logging in the stand-in and demo processes. */
public final class ProcessLogging {
    /** Strong reference: a logger that is no longer referenced is garbage-collected and loses its level. */
    private static final Logger SERVICETALK = Logger.getLogger("io.servicetalk");

    private ProcessLogging() {}

    /** Disables the log of the HTTP library, which would report each connection that a fault aborts on purpose. */
    public static void disableHttpLibraryLogging() {
        SERVICETALK.setLevel(Level.OFF);
    }
}
