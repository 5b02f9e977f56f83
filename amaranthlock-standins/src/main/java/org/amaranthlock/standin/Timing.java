package org.amaranthlock.standin;

import java.util.concurrent.TimeUnit;

/** Monotonic clock and interruptible sleep for the stand-ins. */
public final class Timing {
    private Timing() {}

    /** Returns the time of the monotonic clock of this process, in milliseconds. */
    public static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Blocks the calling thread. Returns early with the interrupt flag set if the thread is interrupted. */
    public static void sleep(long millis) {
        if (millis <= 0) {
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
