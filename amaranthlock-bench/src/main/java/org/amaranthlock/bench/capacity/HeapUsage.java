package org.amaranthlock.bench.capacity;

/** Measures the memory that live objects occupy. */
final class HeapUsage {
    private static final int GC_RUNS = 3;

    private HeapUsage() {}

    /** Returns the number of heap bytes in use after several full garbage collections. */
    static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
