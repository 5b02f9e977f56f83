package org.amaranthlock.transport;

/** Component of a process that is started once and stopped once. */
public interface Lifecycle {
    /** Acquires ports, connections and threads. */
    void start();

    /** Releases everything that {@link #start()} acquired; does nothing if it was not started. */
    void stop();
}
