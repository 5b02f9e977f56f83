package org.amaranthlock.standin;

import java.util.concurrent.TimeUnit;

/** Clock and delays of the stand-ins. */
public final class Timing {
    private Timing() {}

    /** Returns milliseconds of the process's monotonic clock. */
    public static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Delays the calling thread; returns early, with the interrupt flag set, if it is interrupted. */
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
