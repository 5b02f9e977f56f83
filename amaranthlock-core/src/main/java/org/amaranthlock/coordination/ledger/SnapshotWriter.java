package org.amaranthlock.coordination.ledger;

import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerSnapshot;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * Writes the snapshots of a partition: first the additional parts, then the main object.
 *
 * <p>The main object is written conditionally, so that a previous owner cannot replace a newer snapshot. After a failed
 * snapshot the log merely stays longer until a later attempt.
 */
final class SnapshotWriter {
    private static final long POSITIONS_BETWEEN_SNAPSHOTS = 1_000;
    private static final long POSITIONS_BEFORE_RETRY = 100;
    private static final int MAX_PART_CHARACTERS = 400_000;

    private final int partition;
    private final OperationNumberGenerator operationNumbers;
    private List<LedgerSnapshot> parts = List.of();
    private int nextPart;
    private long operation;
    private long storedVersion;
    private long storedPosition;
    private int storedPartCount;
    private long nextSnapshotPosition;

    SnapshotWriter(int partition, OperationNumberGenerator operationNumbers, LedgerLogReader reader) {
        this.partition = partition;
        this.operationNumbers = operationNumbers;
        this.storedVersion = reader.snapshotVersion();
        this.storedPosition = reader.snapshotPosition();
        this.storedPartCount = reader.partCount();
        this.nextSnapshotPosition = storedPosition + POSITIONS_BETWEEN_SNAPSHOTS;
    }

    /** Starts a snapshot if enough positions have been committed since the last one. */
    void onCommit(LedgerState state, long sequence, long nowMillis, List<Command> commands) {
        if (sequence < nextSnapshotPosition) {
            return;
        }
        nextSnapshotPosition = sequence + POSITIONS_BEFORE_RETRY;
        state.removeExpired(nowMillis);
        parts = state.createSnapshot(sequence, MAX_PART_CHARACTERS);
        nextPart = 1;
        writeNext(commands);
    }

    boolean handle(ObjectApiEvent event, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.WriteApplied applied
            when applied.operation() == operation -> onWritten(applied.version(), commands);
            case ObjectApiEvent.WriteConflicted conflicted
            when conflicted.operation() == operation -> readBack(commands);
            case ObjectApiEvent.WriteUnknown unknown when unknown.operation() == operation -> readBack(commands);
            case ObjectApiEvent.OperationFailed failed when failed.operation() == operation -> operation = 0;
            case ObjectApiEvent.ReadDone done
            when done.operation() == operation -> {
                operation = 0;
                done.object().ifPresent(this::applyStored);
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void writeNext(List<Command> commands) {
        operation = operationNumbers.next();
        LedgerSnapshot main = parts.getFirst();
        if (nextPart < parts.size()) {
            String key = LedgerKeys.snapshotPartKey(partition, main.lastSequence(), nextPart);
            commands.add(new ObjectApiCommand.Write(operation, key, 0, parts.get(nextPart)));
        } else {
            commands.add(new ObjectApiCommand.Write(operation, LedgerKeys.snapshotKey(partition), storedVersion, main));
        }
    }

    private void onWritten(long newVersion, List<Command> commands) {
        if (nextPart < parts.size()) {
            nextPart++;
            writeNext(commands);
            return;
        }
        operation = 0;
        for (int part = 1; part <= storedPartCount; part++) {
            String key = LedgerKeys.snapshotPartKey(partition, storedPosition, part);
            commands.add(new ObjectApiCommand.Delete(operationNumbers.next(), key));
        }
        storedVersion = newVersion;
        storedPosition = parts.getFirst().lastSequence();
        storedPartCount = parts.size() - 1;
        nextSnapshotPosition = storedPosition + POSITIONS_BETWEEN_SNAPSHOTS;
        parts = List.of();
    }

    /** Reads the stored snapshot after a conflict or a lost response. */
    private void readBack(List<Command> commands) {
        operation = operationNumbers.next();
        commands.add(new ObjectApiCommand.Read(operation, LedgerKeys.snapshotKey(partition)));
    }

    private void applyStored(VersionedObject object) {
        if (object.value() instanceof LedgerSnapshot snapshot) {
            storedVersion = object.version();
            if (snapshot.lastSequence() > storedPosition) {
                // The number of its parts is unknown, so they are not deleted when it is replaced.
                storedPartCount = 0;
                storedPosition = snapshot.lastSequence();
                nextSnapshotPosition = Math.max(nextSnapshotPosition, storedPosition + POSITIONS_BETWEEN_SNAPSHOTS);
            }
        }
    }
}
