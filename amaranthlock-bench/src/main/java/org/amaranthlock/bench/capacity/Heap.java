package org.amaranthlock.bench.capacity;

/** Memory that live objects hold. */
final class Heap {
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Returns the bytes of the heap in use after several full collections. */
    static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
