package org.amaranthlock.coordination.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;
import org.amaranthlock.protocol.peer.PeerMessage.OutcomeBatch;

/** Unacknowledged outcomes of one partition, sent to the partition owner one batch at a time. */
final class OutcomeOutbox {
    /** The owner may delay the commit by 500 ms and then wait for a write permit. */
    private static final long INITIAL_RESEND_MILLIS = 1_000;

    private static final long MAX_RESEND_MILLIS = 5_000;
    private static final int MAX_BATCH_OUTCOMES = 100;
    private static final int MAX_BATCH_CHARACTERS = 200_000;

    private final int partition;
    private final OperationNumberGenerator operationNumbers;
    private final Map<RequestId, FinalOutcome> pending = new LinkedHashMap<>();
    private List<FinalOutcome> inFlight = List.of();
    private long batchNumber;
    private long nextSendMillis;
    private long resendMillis = INITIAL_RESEND_MILLIS;

    OutcomeOutbox(int partition, OperationNumberGenerator operationNumbers) {
        this.partition = partition;
        this.operationNumbers = operationNumbers;
    }

    /** Adds an outcome unless one of the same request is already pending or in flight. */
    void add(FinalOutcome outcome) {
        RequestId request = outcome.record().request();
        boolean isInFlight =
                inFlight.stream().anyMatch(item -> item.record().request().equals(request));
        if (!isInFlight) {
            pending.putIfAbsent(request, outcome);
        }
    }

    int pendingCount() {
        return pending.size() + inFlight.size();
    }

    /** Removes the outcomes of a durable batch and returns their requests, or none if it is not the current batch. */
    List<RequestId> acknowledge(long acknowledged) {
        if (acknowledged != batchNumber) {
            return List.of();
        }
        List<RequestId> durable =
                inFlight.stream().map(outcome -> outcome.record().request()).toList();
        inFlight = List.of();
        nextSendMillis = 0;
        resendMillis = INITIAL_RESEND_MILLIS;
        return durable;
    }

    /** Sends the current batch again at the given time if that is earlier than scheduled. */
    void retryAt(long millis) {
        nextSendMillis = Math.min(nextSendMillis, millis);
    }

    void sendDue(long nowMillis, Consumer<PeerMessage> send) {
        if (inFlight.isEmpty() && !pending.isEmpty()) {
            createBatch();
            nextSendMillis = nowMillis;
        }
        if (!inFlight.isEmpty() && nowMillis >= nextSendMillis) {
            nextSendMillis = nowMillis + resendMillis;
            resendMillis = Math.min(MAX_RESEND_MILLIS, resendMillis * 2);
            send.accept(new OutcomeBatch(partition, batchNumber, inFlight));
        }
    }

    private void createBatch() {
        batchNumber = operationNumbers.next();
        inFlight = new ArrayList<>();
        int characters = 0;
        var items = pending.values().iterator();
        while (items.hasNext() && inFlight.size() < MAX_BATCH_OUTCOMES) {
            FinalOutcome outcome = items.next();
            characters += SnapshotPartBuilder.estimateSize(outcome);
            if (characters > MAX_BATCH_CHARACTERS && !inFlight.isEmpty()) {
                break;
            }
            inFlight.add(outcome);
            items.remove();
        }
    }
}
