package org.amaranthlock.coordination.ledger;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent.ShowOutcome;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeQuery;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeReply;

/** Operator queries for outcome records, sent to the owners of the partitions. */
final class OutcomeLookups {
    private static final long RESEND_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final OperationNumberGenerator operationNumbers;
    private final OwnerSender ownerSender;
    private final Map<Long, Lookup> pending = new LinkedHashMap<>();

    /** Sends a message to the owner of a partition. */
    interface OwnerSender {
        void send(int partition, PeerMessage message, List<Command> commands);
    }

    OutcomeLookups(OperationNumberGenerator operationNumbers, OwnerSender ownerSender) {
        this.operationNumbers = operationNumbers;
        this.ownerSender = ownerSender;
    }

    void start(ShowOutcome show, long nowMillis, List<Command> commands) {
        int partition;
        try {
            partition = LedgerPartitions.ofRequest(show.request());
        } catch (IllegalArgumentException invalid) {
            String detail = "\"" + show.request() + "\" is not a request id; copy it from the response header"
                    + " Amaranthlock-Request-Id";
            commands.add(new OperatorCommand.Failed(show.call(), ErrorCode.UNKNOWN_REQUEST, detail));
            return;
        }
        long queryNumber = operationNumbers.next();
        Lookup lookup = new Lookup(show, partition, nowMillis);
        pending.put(queryNumber, lookup);
        send(queryNumber, lookup, nowMillis, commands);
    }

    void onReply(OutcomeReply reply, List<Command> commands) {
        Lookup lookup = pending.remove(reply.query());
        if (lookup != null) {
            commands.add(new OperatorCommand.OutcomeShown(lookup.show.call(), reply.record()));
        }
    }

    /** Resends the lookups of a partition at the given time if that is earlier than scheduled. */
    void retryAt(int partition, long millis) {
        for (Lookup lookup : pending.values()) {
            if (lookup.partition == partition) {
                lookup.nextSendMillis = Math.min(lookup.nextSendMillis, millis);
            }
        }
    }

    void tick(long nowMillis, List<Command> commands) {
        pending.values().removeIf(lookup -> {
            boolean timedOut = nowMillis - lookup.startedMillis >= TIMEOUT_MILLIS;
            if (timedOut) {
                commands.add(new OperatorCommand.Failed(
                        lookup.show.call(),
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        "could not look up the outcome of request " + lookup.show.request()
                                + ": the ledger did not respond in time; retry when the platform is reachable"));
            }
            return timedOut;
        });
        pending.forEach((queryNumber, lookup) -> {
            if (nowMillis >= lookup.nextSendMillis) {
                send(queryNumber, lookup, nowMillis, commands);
            }
        });
    }

    private void send(long queryNumber, Lookup lookup, long nowMillis, List<Command> commands) {
        lookup.nextSendMillis = nowMillis + RESEND_MILLIS;
        ownerSender.send(lookup.partition, new OutcomeQuery(queryNumber, "", lookup.show.request()), commands);
    }

    private static final class Lookup {
        private final ShowOutcome show;
        private final int partition;
        private final long startedMillis;
        private long nextSendMillis;

        private Lookup(ShowOutcome show, int partition, long startedMillis) {
            this.show = show;
            this.partition = partition;
            this.startedMillis = startedMillis;
        }
    }
}
