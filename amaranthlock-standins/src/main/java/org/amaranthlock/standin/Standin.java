package org.amaranthlock.standin;

/** An outside system that tests and the demo run in place of the real one. */
public interface Standin {
    /** Opens the port and starts the threads. */
    void start();

    /** Closes the port and stops the threads; does nothing if it was not started. */
    void stop();

    /** Returns the address as {@code host:port}; known only after {@link #start()}. */
    String address();
}
