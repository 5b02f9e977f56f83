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

/** Search for an outcome record in the log: first ahead of the records in memory, where a successor wrote, then back. */
final class OutcomeLogSearch {
    private static final int MAX_POSITIONS = 50;

    private final HostId requester;
    private final long query;
    private final RequestId request;
    private final int partition;
    private final OperationNumberGenerator numbers;
    private Optional<OutcomeRecord> found = Optional.empty();
    private boolean done;
    private boolean atEnd;
    private long ahead;
    private long position;
    private int remaining = MAX_POSITIONS;
    private long operation;

    /**
     * Creates a search.
     *
     * @param from the router that asks
     * @param query its query number
     * @param request the request whose record is searched
     * @param partition the partition
     * @param ahead first position that is not in memory; another owner may have written it and later ones
     * @param before the search goes back from the position before this one
     * @param numbers source of operation numbers
     */
    OutcomeLogSearch(
            HostId from,
            long query,
            RequestId request,
            int partition,
            long ahead,
            long before,
            OperationNumberGenerator numbers) {
        this.requester = from;
        this.query = query;
        this.request = request;
        this.partition = partition;
        this.ahead = ahead;
        this.position = before;
        this.numbers = numbers;
    }

    HostId requester() {
        return requester;
    }

    long query() {
        return query;
    }

    boolean done() {
        return done;
    }

    Optional<OutcomeRecord> found() {
        return found;
    }

    void next(List<Command> commands) {
        remaining--;
        if (!atEnd && remaining >= 0) {
            read(ahead++, commands);
            return;
        }
        position--;
        if (position < 1 || remaining < 0) {
            done = true;
            return;
        }
        read(position, commands);
    }

    private void read(long sequence, List<Command> commands) {
        operation = numbers.next();
        commands.add(new ObjectApiCommand.Read(operation, LedgerKeys.position(partition, sequence)));
    }

    /** Takes an answer; a failed read ends the search without an answer to the asking router. */
    boolean handle(ObjectApiEvent event, List<Command> commands) {
        if (!(event instanceof ObjectApiEvent.ReadDone read) || read.operation() != operation) {
            return false;
        }
        read.object().ifPresent(object -> {
            if (object.value() instanceof LedgerBatch batch) {
                batch.entries().forEach(this::compare);
            }
        });
        atEnd = atEnd || read.object().isEmpty();
        if (found.isPresent()) {
            done = true;
        } else {
            next(commands);
        }
        return true;
    }

    private void compare(LedgerEntry entry) {
        if (entry instanceof OutcomeEntry outcome
                && outcome.outcome().record().request().equals(request)
                && found.isEmpty()) {
            found = Optional.of(outcome.outcome().record());
        }
    }

    boolean failedBy(ObjectApiEvent event) {
        return event instanceof ObjectApiEvent.OperationFailed failed && failed.operation() == operation;
    }
}
