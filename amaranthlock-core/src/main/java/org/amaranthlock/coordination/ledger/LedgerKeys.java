package org.amaranthlock.coordination.ledger;

/** Keys of the platform objects of a ledger partition. */
final class LedgerKeys {
    /** Positions per {@link #block}. */
    static final int BLOCK_LENGTH = 10;

    private LedgerKeys() {}

    static String snapshot(int partition) {
        return String.format("ledger/%02x/snapshot", partition);
    }

    /** Returns the key of a further part of a snapshot; parts are numbered from 1. */
    static String snapshotPart(int partition, long upTo, int part) {
        return String.format("ledger/%02x/snapshot-parts/%012d/%04d", partition, upTo, part);
    }

    static String position(int partition, long sequence) {
        return String.format("ledger/%02x/log/%012d", partition, sequence);
    }

    /** Returns the prefix of the ten positions with the same tens as {@code sequence}. */
    static String block(int partition, long sequence) {
        return String.format("ledger/%02x/log/%011d", partition, sequence / BLOCK_LENGTH);
    }

    /** Returns the text whose rendezvous order gives the owner of a partition. */
    static String owner(int partition) {
        return "ledger/" + partition;
    }
}
