package org.amaranthlock.coordination.ledger;

/** Keys of the platform objects of a ledger partition. */
final class LedgerKeys {
    /** Number of log positions that share a {@link #logBlockPrefix}. */
    static final int POSITIONS_PER_BLOCK = 10;

    private LedgerKeys() {}

    static String snapshotKey(int partition) {
        return String.format("ledger/%02x/snapshot", partition);
    }

    /** Returns the key of an additional part of a snapshot; parts are numbered from 1. */
    static String snapshotPartKey(int partition, long lastSequence, int part) {
        return String.format("ledger/%02x/snapshot-parts/%012d/%04d", partition, lastSequence, part);
    }

    static String logKey(int partition, long sequence) {
        return String.format("ledger/%02x/log/%012d", partition, sequence);
    }

    /** Returns the key prefix shared by the ten positions that differ from {@code sequence} only in the last digit. */
    static String logBlockPrefix(int partition, long sequence) {
        return String.format("ledger/%02x/log/%011d", partition, sequence / POSITIONS_PER_BLOCK);
    }

    /** Returns the rendezvous hashing key that determines the preferred owner of a partition. */
    static String rendezvousKey(int partition) {
        return "ledger/" + partition;
    }
}
