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
 * Writes one position of a log and retries until it is certain whether the write took effect.
 *
 * <p>After a lost response the position is read back: the batch id of this write means committed, any other id means
 * fenced. If the position is still empty, the write may yet arrive, so the same batch is written again instead of a new
 * one.
 */
final class LedgerLogWrite {
    private static final long INITIAL_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 2_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;

    /** Status of a write. */
    enum Status {
        /** The result is not certain yet. */
        WAITING,
        /** The batch is in the log. */
        COMMITTED,
        /** The position holds the batch of another owner, so this one can never be committed. */
        FENCED,
        /** The platform certainly did not execute the write. */
        ABORTED
    }

    private final LedgerBatch batch;
    private final OperationNumberGenerator operationNumbers;
    private final PendingWork.WriteSelection selection;
    private Status status = Status.WAITING;
    private boolean inDoubt;
    private long operation;
    private long startedMillis;
    private long retryMillis = INITIAL_RETRY_MILLIS;
    private Optional<Long> nextReadMillis = Optional.empty();

    LedgerLogWrite(LedgerBatch batch, PendingWork.WriteSelection selection, OperationNumberGenerator operationNumbers) {
        this.batch = batch;
        this.selection = selection;
        this.operationNumbers = operationNumbers;
    }

    LedgerBatch batch() {
        return batch;
    }

    PendingWork.WriteSelection selection() {
        return selection;
    }

    Status status() {
        return status;
    }

    /** Returns whether the write is in doubt and the last attempt to read it back failed. */
    boolean isStalled() {
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
                // The position may hold an earlier attempt of this write whose response was lost.
                inDoubt = true;
                read(nowMillis, commands);
            }
            case ObjectApiEvent.WriteUnknown unknown
            when unknown.operation() == operation -> {
                inDoubt = true;
                read(nowMillis, commands);
            }
            case ObjectApiEvent.ReadDone done
            when done.operation() == operation -> compareBatch(done.object(), nowMillis, commands);
            case ObjectApiEvent.OperationFailed failed when failed.operation() == operation -> onFailed(nowMillis);
            default -> {
                return false;
            }
        }
        return true;
    }

    void tick(long nowMillis, List<Command> commands) {
        if (nextReadMillis.isPresent() && nowMillis >= nextReadMillis.get()) {
            read(nowMillis, commands);
        } else if (operation != 0 && nowMillis - startedMillis > RESPONSE_TIMEOUT_MILLIS) {
            inDoubt = true;
            read(nowMillis, commands);
        }
    }

    private void compareBatch(Optional<VersionedObject> object, long nowMillis, List<Command> commands) {
        if (object.isEmpty()) {
            write(nowMillis, commands);
        } else if (object.get().value() instanceof LedgerBatch stored
                && stored.batchId().equals(batch.batchId())) {
            status = Status.COMMITTED;
        } else {
            status = Status.FENCED;
        }
    }

    private void onFailed(long nowMillis) {
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
        startOperation(nowMillis);
        String key = LedgerKeys.logKey(batch.partition(), batch.sequence());
        commands.add(new ObjectApiCommand.Write(operation, key, 0, batch));
    }

    private void read(long nowMillis, List<Command> commands) {
        startOperation(nowMillis);
        commands.add(new ObjectApiCommand.Read(operation, LedgerKeys.logKey(batch.partition(), batch.sequence())));
    }

    private void startOperation(long nowMillis) {
        operation = operationNumbers.next();
        startedMillis = nowMillis;
        nextReadMillis = Optional.empty();
    }
}
