package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.StoreReaderSelector;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.StoreReply;

/** Neighbour that is asked over the links between hosts; all calls are on the control loop. */
public final class PeerStoreClient implements PeerStoreReader {
    /**
     * Time within which a question about the configuration is answered: the reader's interval, and an answer of the store
     * that takes long. Longer would leave too little of the time within which a configuration must be in force.
     */
    private static final long CONFIGURATION_MILLIS = 1_400;

    /** Time within which a question about targets is answered, also if nothing changes; the reader's watch ends before. */
    private static final long TARGETS_MILLIS = 5_500;

    private final EventLoop loop;
    private final StoreReaderSelector choice;
    private final PeerQueries links;
    private final LongSupplier clockMillis;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Map<Long, PendingQuery> open = new HashMap<>();
    private long lastId;

    private record PendingQuery(String peer, Consumer<EntryPeerMessage.Answer> result, Future<?> timeout) {}

    /** Creates a neighbour. */
    public PeerStoreClient(
            EventLoop loop,
            StoreReaderSelector choice,
            PeerQueries links,
            LongSupplier clockMillis,
            DecisionLog log,
            EntryMetrics metrics) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.choice = Objects.requireNonNull(choice, "choice");
        this.links = Objects.requireNonNull(links, "links");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public boolean confirmConfiguration(long revision, Consumer<OptionalLong> ageMillis) {
        long id = ++lastId;
        return ask(
                id,
                new EntryPeerMessage.ConfigurationQuery(id, revision),
                CONFIGURATION_MILLIS,
                answer -> ageMillis.accept(
                        answer instanceof EntryPeerMessage.ConfigurationConfirmed confirmed
                                        && confirmed.ageMillis() >= 0
                                ? OptionalLong.of(confirmed.ageMillis())
                                : OptionalLong.empty()));
    }

    @Override
    public boolean fetchTargetChanges(long revision, Consumer<Optional<StoreReply.Changes>> changes) {
        long id = ++lastId;
        return ask(
                id,
                new EntryPeerMessage.TargetsQuery(id, revision),
                TARGETS_MILLIS,
                answer -> changes.accept(
                        answer instanceof EntryPeerMessage.TargetsChanged changed
                                ? Optional.of(new StoreReply.Changes(changed.changes(), changed.revision()))
                                : Optional.empty()));
    }

    /** Takes an answer of a host. */
    public void onAnswer(EntryPeerMessage.Answer answer) {
        end(answer, answer.getClass().getSimpleName());
    }

    /** Takes that a host cannot be asked any more; its open questions are ended at once. */
    public void onPeerLost(String peer, String cause) {
        List<Long> ids = new ArrayList<>();
        open.forEach((id, question) -> {
            if (question.peer().equals(peer)) {
                ids.add(id);
            }
        });
        if (!ids.isEmpty()) {
            choice.markUnresponsive(peer, clockMillis.getAsLong());
            log.write("neighbour-lost", "peer", peer, "cause", cause, "questions", ids.size());
        }
        ids.forEach(id -> end(new EntryPeerMessage.NotKnown(id), cause));
    }

    private boolean ask(
            long id, EntryPeerMessage question, long timeoutMillis, Consumer<EntryPeerMessage.Answer> result) {
        Optional<String> reader = choice.select(links.connected(), clockMillis.getAsLong());
        if (reader.isEmpty() || !links.sendQuery(reader.get(), question)) {
            return false;
        }
        Future<?> timeout = loop.schedule(() -> silent(reader.get()), timeoutMillis, TimeUnit.MILLISECONDS);
        open.put(id, new PendingQuery(reader.get(), result, timeout));
        return true;
    }

    private void silent(String peer) {
        onPeerLost(peer, "no-answer");
        links.reset(peer);
    }

    private void end(EntryPeerMessage.Answer answer, String outcome) {
        PendingQuery question = open.remove(answer.id());
        if (question == null) {
            return;
        }
        question.timeout().cancel(false);
        metrics.recordStoreCall("neighbour", outcome);
        question.result().accept(answer);
    }
}
