package org.amaranthlock.coordination.ledger;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerBatch;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.LedgerEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.OutcomeEntry;

/**
 * Searches the log for the outcome record of a request.
 *
 * <p>It first reads forward from the first uncached position, where a successor may have written, to the end of the log
 * and then backward from the first cached position.
 */
final class OutcomeLogSearch {
    /** After this many reads, the search ends without a record. */
    private static final int MAX_READS = 50;

    private final HostId requester;
    private final long query;
    private final RequestId request;
    private final int partition;
    private final OperationNumberGenerator operationNumbers;
    private Optional<OutcomeRecord> found = Optional.empty();
    private boolean done;
    private boolean logEndReached;
    private long forwardPosition;
    private long backwardPosition;
    private int remainingReads = MAX_READS;
    private long operation;

    /**
     * Creates a search.
     *
     * @param requester the router that sent the query
     * @param query query number of the requester
     * @param request the request whose record is searched for
     * @param partition the partition of the request
     * @param firstUncachedPosition the forward search starts here; another owner may have written from this position on
     * @param firstCachedPosition the backward search starts at the position before this one
     * @param operationNumbers generator of operation numbers
     */
    OutcomeLogSearch(
            HostId requester,
            long query,
            RequestId request,
            int partition,
            long firstUncachedPosition,
            long firstCachedPosition,
            OperationNumberGenerator operationNumbers) {
        this.requester = requester;
        this.query = query;
        this.request = request;
        this.partition = partition;
        this.forwardPosition = firstUncachedPosition;
        this.backwardPosition = firstCachedPosition;
        this.operationNumbers = operationNumbers;
    }

    HostId requester() {
        return requester;
    }

    long query() {
        return query;
    }

    boolean isDone() {
        return done;
    }

    Optional<OutcomeRecord> found() {
        return found;
    }

    void readNext(List<Command> commands) {
        remainingReads--;
        if (!logEndReached && remainingReads >= 0) {
            read(forwardPosition++, commands);
            return;
        }
        backwardPosition--;
        if (backwardPosition < 1 || remainingReads < 0) {
            done = true;
            return;
        }
        read(backwardPosition, commands);
    }

    private void read(long sequence, List<Command> commands) {
        operation = operationNumbers.next();
        commands.add(new ObjectApiCommand.Read(operation, LedgerKeys.logKey(partition, sequence)));
    }

    /** Handles the result of a read and returns whether it belongs to this search. */
    boolean handle(ObjectApiEvent event, List<Command> commands) {
        if (!(event instanceof ObjectApiEvent.ReadDone read) || read.operation() != operation) {
            return false;
        }
        read.object().ifPresent(object -> {
            if (object.value() instanceof LedgerBatch batch) {
                batch.entries().forEach(this::match);
            }
        });
        logEndReached = logEndReached || read.object().isEmpty();
        if (found.isPresent()) {
            done = true;
        } else {
            readNext(commands);
        }
        return true;
    }

    private void match(LedgerEntry entry) {
        if (entry instanceof OutcomeEntry outcome
                && outcome.outcome().record().request().equals(request)
                && found.isEmpty()) {
            found = Optional.of(outcome.outcome().record());
        }
    }

    /** Returns whether an event reports that a read failed, which ends the search without a reply to the requester. */
    boolean isFailedBy(ObjectApiEvent event) {
        return event instanceof ObjectApiEvent.OperationFailed failed && failed.operation() == operation;
    }
}
