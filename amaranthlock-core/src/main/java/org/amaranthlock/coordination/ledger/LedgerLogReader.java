package org.amaranthlock.coordination.ledger;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerSnapshot;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * Reads the state of a partition from its newest snapshot and the log after it.
 *
 * <p>Listings may be stale, so the end of the log is confirmed by reading the position after the last known one.
 */
final class LedgerLogReader {
    /** Positions before the snapshot whose records are also read, so that late duplicates of outcomes are detected. */
    private static final int POSITIONS_BEFORE_SNAPSHOT = 100;

    /** Object that the reader is waiting for, or its final state. */
    enum Phase {
        SNAPSHOT,
        SNAPSHOT_PART,
        LOG_BLOCK,
        LOG_POSITION,
        DONE,
        FAILED
    }

    private final int partition;
    private final OperationNumberGenerator operationNumbers;
    private final RecentOutcomes recentOutcomes;
    private LedgerState state;
    private Phase phase = Phase.SNAPSHOT;
    private long operation;
    private long snapshotPosition;
    private long snapshotVersion;
    private int partCount;
    private long nextPosition = 1;

    LedgerLogReader(int partition, OperationNumberGenerator operationNumbers, RecentOutcomes recentOutcomes) {
        this.partition = partition;
        this.operationNumbers = operationNumbers;
        this.recentOutcomes = recentOutcomes;
        this.state = new LedgerState(partition, recentOutcomes);
    }

    Phase phase() {
        return phase;
    }

    LedgerState state() {
        return state;
    }

    /** Returns the first position that is not contained in the state. */
    long nextPosition() {
        return nextPosition;
    }

    long snapshotPosition() {
        return snapshotPosition;
    }

    /** Returns the version of the snapshot's platform object, or 0 if there is no snapshot. */
    long snapshotVersion() {
        return snapshotVersion;
    }

    /** Returns the number of additional snapshot parts, including the empty one that marks the end. */
    int partCount() {
        return partCount;
    }

    /** Starts reading from the snapshot. */
    void start(List<Command> commands) {
        state = new LedgerState(partition, recentOutcomes);
        partCount = 0;
        phase = Phase.SNAPSHOT;
        read(LedgerKeys.snapshotKey(partition), commands);
    }

    /** Continues reading at the position that follows those contained in the state. */
    void resume(long from, List<Command> commands) {
        nextPosition = from;
        phase = Phase.LOG_POSITION;
        read(LedgerKeys.logKey(partition, nextPosition), commands);
    }

    /** Handles an event and returns whether it belongs to an operation of this reader. */
    boolean handle(ObjectApiEvent event, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.ReadDone done when done.operation() == operation -> onReadDone(done.object(), commands);
            case ObjectApiEvent.ListDone done
            when done.operation() == operation -> onListDone(done.objects(), commands);
            case ObjectApiEvent.OperationFailed failed when failed.operation() == operation -> phase = Phase.FAILED;
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onReadDone(Optional<VersionedObject> object, List<Command> commands) {
        switch (phase) {
            case SNAPSHOT -> onSnapshotRead(object, commands);
            case SNAPSHOT_PART -> onPartRead(object, commands);
            default -> {
                if (object.isPresent() && object.get().value() instanceof LedgerBatch batch) {
                    apply(batch);
                    listBlock(commands);
                } else {
                    phase = Phase.DONE;
                }
            }
        }
    }

    private void onSnapshotRead(Optional<VersionedObject> object, List<Command> commands) {
        if (object.isPresent() && object.get().value() instanceof LedgerSnapshot snapshot) {
            snapshotPosition = snapshot.lastSequence();
            snapshotVersion = object.get().version();
            state.loadSnapshot(snapshot);
            readNextPart(commands);
        } else {
            snapshotPosition = 0;
            snapshotVersion = 0;
            startLogRead(commands);
        }
    }

    private void readNextPart(List<Command> commands) {
        partCount++;
        phase = Phase.SNAPSHOT_PART;
        read(LedgerKeys.snapshotPartKey(partition, snapshotPosition, partCount), commands);
    }

    private void onPartRead(Optional<VersionedObject> object, List<Command> commands) {
        if (object.isEmpty() || !(object.get().value() instanceof LedgerSnapshot part)) {
            // The snapshot was replaced and its parts were deleted during the read.
            start(commands);
            return;
        }
        state.loadSnapshot(part);
        if (part.open().isEmpty() && part.closed().isEmpty()) {
            startLogRead(commands);
        } else {
            readNextPart(commands);
        }
    }

    private void startLogRead(List<Command> commands) {
        nextPosition = Math.max(1, snapshotPosition + 1 - POSITIONS_BEFORE_SNAPSHOT);
        recentOutcomes.resetFirstCachedPosition(partition, nextPosition);
        listBlock(commands);
    }

    private void listBlock(List<Command> commands) {
        phase = Phase.LOG_BLOCK;
        operation = operationNumbers.next();
        String prefix = LedgerKeys.logBlockPrefix(partition, nextPosition);
        commands.add(new ObjectApiCommand.ListObjects(operation, prefix, LedgerKeys.POSITIONS_PER_BLOCK));
    }

    private void onListDone(List<VersionedObject> objects, List<Command> commands) {
        for (VersionedObject object : objects) {
            if (object.value() instanceof LedgerBatch batch && batch.sequence() == nextPosition) {
                apply(batch);
            }
        }
        phase = Phase.LOG_POSITION;
        read(LedgerKeys.logKey(partition, nextPosition), commands);
    }

    private void apply(LedgerBatch batch) {
        if (batch.sequence() <= snapshotPosition) {
            state.applyRecordsOnly(batch);
        } else {
            state.apply(batch);
        }
        nextPosition = batch.sequence() + 1;
    }

    private void read(String key, List<Command> commands) {
        operation = operationNumbers.next();
        commands.add(new ObjectApiCommand.Read(operation, key));
    }
}
