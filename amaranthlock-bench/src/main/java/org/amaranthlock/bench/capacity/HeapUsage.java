package org.amaranthlock.bench.capacity;

/** Memory that live objects hold. */
final class HeapUsage {
    private static final int GC_RUNS = 3;

    private HeapUsage() {}

    /** Returns the bytes of the heap in use after several full collections. */
    static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
