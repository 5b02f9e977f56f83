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

/** Outcomes of one partition that are not acknowledged yet; one batch of them is under way at a time. */
final class OutcomeOutbox {
    /** The owner may wait 500 ms before it commits, and then for its write rate. */
    private static final long RESEND_MILLIS = 1_000;

    private static final long MAX_RESEND_MILLIS = 5_000;
    private static final int MAX_OUTCOMES = 100;
    private static final int MAX_CHARACTERS = 200_000;

    private final int partition;
    private final OperationNumberGenerator numbers;
    private final Map<RequestId, FinalOutcome> waiting = new LinkedHashMap<>();
    private List<FinalOutcome> sent = List.of();
    private long batch;
    private long nextSendMillis;
    private long resendMillis = RESEND_MILLIS;

    OutcomeOutbox(int partition, OperationNumberGenerator numbers) {
        this.partition = partition;
        this.numbers = numbers;
    }

    /** Adds an outcome; the first one of a request stays. */
    void add(FinalOutcome outcome) {
        RequestId request = outcome.record().request();
        boolean underWay =
                sent.stream().anyMatch(item -> item.record().request().equals(request));
        if (!underWay) {
            waiting.putIfAbsent(request, outcome);
        }
    }

    int pendingCount() {
        return waiting.size() + sent.size();
    }

    /** Forgets the outcomes of a batch that lasts and returns their requests; none if it is not the present batch. */
    List<RequestId> acknowledge(long acknowledged) {
        if (acknowledged != batch) {
            return List.of();
        }
        List<RequestId> lasting =
                sent.stream().map(outcome -> outcome.record().request()).toList();
        sent = List.of();
        nextSendMillis = 0;
        resendMillis = RESEND_MILLIS;
        return lasting;
    }

    /** Moves the next repetition forward. */
    void retryAt(long millis) {
        nextSendMillis = Math.min(nextSendMillis, millis);
    }

    void sendDue(long nowMillis, Consumer<PeerMessage> send) {
        if (sent.isEmpty() && !waiting.isEmpty()) {
            cutBatch();
            nextSendMillis = nowMillis;
        }
        if (!sent.isEmpty() && nowMillis >= nextSendMillis) {
            nextSendMillis = nowMillis + resendMillis;
            resendMillis = Math.min(MAX_RESEND_MILLIS, resendMillis * 2);
            send.accept(new OutcomeBatch(partition, batch, sent));
        }
    }

    private void cutBatch() {
        batch = numbers.next();
        sent = new ArrayList<>();
        int characters = 0;
        var items = waiting.values().iterator();
        while (items.hasNext() && sent.size() < MAX_OUTCOMES) {
            FinalOutcome outcome = items.next();
            characters += SnapshotParts.size(outcome);
            if (characters > MAX_CHARACTERS && !sent.isEmpty()) {
                break;
            }
            sent.add(outcome);
            items.remove();
        }
    }
}
