package org.amaranthlock.standin;

/** Server that imitates an external system in tests and in the demo. */
public interface Standin {
    /** Starts the threads and opens the port. */
    void start();

    /** Closes the port and stops the threads. Has no effect if the stand-in was not started. */
    void stop();

    /** Returns the address as {@code host:port}. Available only after {@link #start()}. */
    String address();
}
