package org.amaranthlock.coordination.ledger;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * Write of one position of a log, until it is certain whether it took effect.
 *
 * <p>After a lost answer the position is read back: the own batch id means committed, another one means fenced. If the
 * position is still empty, the write may yet arrive, so the same batch is written again rather than another one.
 */
final class LedgerLogWrite {
    private static final long RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    /** How a write stands. */
    enum Status {
        /** Not certain yet. */
        WAITING,
        /** The batch is in the log. */
        COMMITTED,
        /** Another owner's batch is at the position; this one never will be. */
        FENCED,
        /** The platform certainly did not carry out the write. */
        ABORTED
    }

    private final LedgerBatch batch;
    private final OperationNumberGenerator numbers;
    private final PendingWork.WriteSelection work;
    private Status status = Status.WAITING;
    private boolean inDoubt;
    private long operation;
    private long startedMillis;
    private long retryMillis = RETRY_MILLIS;
    private Optional<Long> nextReadMillis = Optional.empty();

    LedgerLogWrite(LedgerBatch batch, PendingWork.WriteSelection work, OperationNumberGenerator numbers) {
        this.batch = batch;
        this.work = work;
        this.numbers = numbers;
    }

    LedgerBatch batch() {
        return batch;
    }

    PendingWork.WriteSelection work() {
        return work;
    }

    Status status() {
        return status;
    }

    /** Tells whether the write is in doubt and the platform did not answer the last question about it. */
    boolean stalled() {
        return nextReadMillis.isPresent();
    }

    void start(long nowMillis, List<Command> commands) {
        write(nowMillis, commands);
    }

    boolean handle(ObjectApiEvent event, long nowMillis, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.WriteApplied applied when applied.operation() == operation -> status = Status.COMMITTED;
            case ObjectApiEvent.WriteConflicted conflicted
            when conflicted.operation() == operation -> {
                // The occupant may be an own earlier write whose answer was lost.
                inDoubt = true;
                read(nowMillis, commands);
            }
            case ObjectApiEvent.WriteUnknown unknown
            when unknown.operation() == operation -> {
                inDoubt = true;
                read(nowMillis, commands);
            }
            case ObjectApiEvent.ReadDone done
            when done.operation() == operation -> compare(done.object(), nowMillis, commands);
            case ObjectApiEvent.OperationFailed failed when failed.operation() == operation -> failed(nowMillis);
            default -> {
                return false;
            }
        }
        return true;
    }

    void tick(long nowMillis, List<Command> commands) {
        if (nextReadMillis.isPresent() && nowMillis >= nextReadMillis.get()) {
            read(nowMillis, commands);
        } else if (operation != 0 && nowMillis - startedMillis > ANSWER_TIMEOUT_MILLIS) {
            inDoubt = true;
            read(nowMillis, commands);
        }
    }

    private void compare(Optional<VersionedObject> object, long nowMillis, List<Command> commands) {
        if (object.isEmpty()) {
            write(nowMillis, commands);
        } else if (object.get().value() instanceof LedgerBatch present
                && present.batchId().equals(batch.batchId())) {
            status = Status.COMMITTED;
        } else {
            status = Status.FENCED;
        }
    }

    private void failed(long nowMillis) {
        operation = 0;
        if (inDoubt) {
            retryLater(nowMillis);
        } else {
            status = Status.ABORTED;
        }
    }

    private void retryLater(long nowMillis) {
        nextReadMillis = Optional.of(nowMillis + retryMillis);
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    }

    private void write(long nowMillis, List<Command> commands) {
        begin(nowMillis);
        String key = LedgerKeys.position(batch.partition(), batch.sequence());
        commands.add(new ObjectApiCommand.Write(operation, key, 0, batch));
    }

    private void read(long nowMillis, List<Command> commands) {
        begin(nowMillis);
        commands.add(new ObjectApiCommand.Read(operation, LedgerKeys.position(batch.partition(), batch.sequence())));
    }

    private void begin(long nowMillis) {
        operation = numbers.next();
        startedMillis = nowMillis;
        nextReadMillis = Optional.empty();
    }
}
