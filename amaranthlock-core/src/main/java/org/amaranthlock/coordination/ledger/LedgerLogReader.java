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
 * <p>Lists may be outdated, so the end of the log is confirmed by reading the position after the last known one.
 */
final class LedgerLogReader {
    /** Positions before the snapshot whose records are read too, so that late repeats of outcomes are recognised. */
    private static final int RECORDS_BEFORE_SNAPSHOT = 100;

    /** What the reader is waiting for. */
    enum Phase {
        SNAPSHOT,
        PART,
        BLOCK,
        POSITION,
        DONE,
        FAILED
    }

    private final int partition;
    private final OperationNumberGenerator numbers;
    private final RecentOutcomes recent;
    private LedgerState state;
    private Phase phase = Phase.SNAPSHOT;
    private long operation;
    private long snapshotUpTo;
    private long snapshotVersion;
    private int parts;
    private long next = 1;

    LedgerLogReader(int partition, OperationNumberGenerator numbers, RecentOutcomes recent) {
        this.partition = partition;
        this.numbers = numbers;
        this.recent = recent;
        this.state = new LedgerState(partition, recent);
    }

    Phase phase() {
        return phase;
    }

    LedgerState state() {
        return state;
    }

    /** Returns the first position that is not in the state. */
    long next() {
        return next;
    }

    long snapshotUpTo() {
        return snapshotUpTo;
    }

    /** Returns the version of the snapshot's platform object, 0 if there is none. */
    long snapshotVersion() {
        return snapshotVersion;
    }

    /** Returns the number of further parts of the snapshot, the empty one included. */
    int parts() {
        return parts;
    }

    /** Starts from the snapshot. */
    void start(List<Command> commands) {
        state = new LedgerState(partition, recent);
        parts = 0;
        phase = Phase.SNAPSHOT;
        read(LedgerKeys.snapshot(partition), commands);
    }

    /** Reads on from a position behind those that the state contains. */
    void resume(long from, List<Command> commands) {
        next = from;
        phase = Phase.POSITION;
        read(LedgerKeys.position(partition, next), commands);
    }

    /** Takes an answer; returns whether it was one to this reader. */
    boolean handle(ObjectApiEvent event, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.ReadDone done when done.operation() == operation -> readDone(done.object(), commands);
            case ObjectApiEvent.ListDone done when done.operation() == operation -> listDone(done.objects(), commands);
            case ObjectApiEvent.OperationFailed failed when failed.operation() == operation -> phase = Phase.FAILED;
            default -> {
                return false;
            }
        }
        return true;
    }

    private void readDone(Optional<VersionedObject> object, List<Command> commands) {
        switch (phase) {
            case SNAPSHOT -> snapshotRead(object, commands);
            case PART -> partRead(object, commands);
            default -> {
                if (object.isPresent() && object.get().value() instanceof LedgerBatch batch) {
                    apply(batch);
                    list(commands);
                } else {
                    phase = Phase.DONE;
                }
            }
        }
    }

    private void snapshotRead(Optional<VersionedObject> object, List<Command> commands) {
        if (object.isPresent() && object.get().value() instanceof LedgerSnapshot snapshot) {
            snapshotUpTo = snapshot.lastSequence();
            snapshotVersion = object.get().version();
            state.load(snapshot);
            readNextPart(commands);
        } else {
            snapshotUpTo = 0;
            snapshotVersion = 0;
            startLog(commands);
        }
    }

    private void readNextPart(List<Command> commands) {
        parts++;
        phase = Phase.PART;
        read(LedgerKeys.snapshotPart(partition, snapshotUpTo, parts), commands);
    }

    private void partRead(Optional<VersionedObject> object, List<Command> commands) {
        if (object.isEmpty() || !(object.get().value() instanceof LedgerSnapshot part)) {
            // The snapshot was replaced and its parts deleted while they were read.
            start(commands);
            return;
        }
        state.load(part);
        if (part.open().isEmpty() && part.closed().isEmpty()) {
            startLog(commands);
        } else {
            readNextPart(commands);
        }
    }

    private void startLog(List<Command> commands) {
        next = Math.max(1, snapshotUpTo + 1 - RECORDS_BEFORE_SNAPSHOT);
        recent.resetFirstCached(partition, next);
        list(commands);
    }

    private void list(List<Command> commands) {
        phase = Phase.BLOCK;
        operation = numbers.next();
        String prefix = LedgerKeys.block(partition, next);
        commands.add(new ObjectApiCommand.ListObjects(operation, prefix, LedgerKeys.BLOCK_LENGTH));
    }

    private void listDone(List<VersionedObject> objects, List<Command> commands) {
        for (VersionedObject object : objects) {
            if (object.value() instanceof LedgerBatch batch && batch.sequence() == next) {
                apply(batch);
            }
        }
        phase = Phase.POSITION;
        read(LedgerKeys.position(partition, next), commands);
    }

    private void apply(LedgerBatch batch) {
        if (batch.sequence() <= snapshotUpTo) {
            state.applyRecordsOnly(batch);
        } else {
            state.apply(batch);
        }
        next = batch.sequence() + 1;
    }

    private void read(String key, List<Command> commands) {
        operation = numbers.next();
        commands.add(new ObjectApiCommand.Read(operation, key));
    }
}
