/** Milliseconds since the start of the case. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleepUntil(long millis) throws InterruptedException {
        long left = millis - millis();
        if (left > 0) {
            Thread.sleep(left);
        }
    }
}
