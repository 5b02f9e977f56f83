package org.amaranthlock.coordination.ledger;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerSnapshot;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * Writes the snapshots of a partition: first the further parts, then the main object.
 *
 * <p>The main object is written conditionally, so that an earlier owner can't replace a newer snapshot. A failed
 * snapshot is only a longer log; it is tried again later.
 */
final class SnapshotWriter {
    private static final long BATCHES = 1_000;
    private static final long BATCHES_BEFORE_RETRY = 100;
    private static final int PART_CHARACTERS = 400_000;

    private final int partition;
    private final OperationNumberGenerator numbers;
    private List<LedgerSnapshot> parts = List.of();
    private int nextPart;
    private long operation;
    private long version;
    private long upTo;
    private int storedParts;
    private long nextAt;

    SnapshotWriter(int partition, OperationNumberGenerator numbers, LedgerLogReader reader) {
        this.partition = partition;
        this.numbers = numbers;
        this.version = reader.snapshotVersion();
        this.upTo = reader.snapshotUpTo();
        this.storedParts = reader.parts();
        this.nextAt = upTo + BATCHES;
    }

    /** Starts a snapshot if enough positions were committed since the last one. */
    void onCommit(LedgerState state, long sequence, long nowMillis, List<Command> commands) {
        if (sequence < nextAt) {
            return;
        }
        nextAt = sequence + BATCHES_BEFORE_RETRY;
        state.removeExpired(nowMillis);
        parts = state.snapshot(sequence, PART_CHARACTERS);
        nextPart = 1;
        writeNext(commands);
    }

    boolean handle(ObjectApiEvent event, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.WriteApplied applied
            when applied.operation() == operation -> written(applied.version(), commands);
            case ObjectApiEvent.WriteConflicted conflicted
            when conflicted.operation() == operation -> readBack(commands);
            case ObjectApiEvent.WriteUnknown unknown when unknown.operation() == operation -> readBack(commands);
            case ObjectApiEvent.OperationFailed failed when failed.operation() == operation -> operation = 0;
            case ObjectApiEvent.ReadDone done
            when done.operation() == operation -> {
                operation = 0;
                done.object().ifPresent(this::adopt);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void writeNext(List<Command> commands) {
        operation = numbers.next();
        LedgerSnapshot main = parts.getFirst();
        if (nextPart < parts.size()) {
            String key = LedgerKeys.snapshotPart(partition, main.lastSequence(), nextPart);
            commands.add(new ObjectApiCommand.Write(operation, key, 0, parts.get(nextPart)));
        } else {
            commands.add(new ObjectApiCommand.Write(operation, LedgerKeys.snapshot(partition), version, main));
        }
    }

    private void written(long newVersion, List<Command> commands) {
        if (nextPart < parts.size()) {
            nextPart++;
            writeNext(commands);
            return;
        }
        operation = 0;
        for (int part = 1; part <= storedParts; part++) {
            String key = LedgerKeys.snapshotPart(partition, upTo, part);
            commands.add(new ObjectApiCommand.Delete(numbers.next(), key));
        }
        version = newVersion;
        upTo = parts.getFirst().lastSequence();
        storedParts = parts.size() - 1;
        nextAt = upTo + BATCHES;
        parts = List.of();
    }

    /** Learns after a conflict or a lost answer which snapshot is stored. */
    private void readBack(List<Command> commands) {
        operation = numbers.next();
        commands.add(new ObjectApiCommand.Read(operation, LedgerKeys.snapshot(partition)));
    }

    private void adopt(VersionedObject object) {
        if (object.value() instanceof LedgerSnapshot snapshot) {
            version = object.version();
            if (snapshot.lastSequence() > upTo) {
                storedParts = 0;
                upTo = snapshot.lastSequence();
                nextAt = Math.max(nextAt, upTo + BATCHES);
            }
        }
    }
}
