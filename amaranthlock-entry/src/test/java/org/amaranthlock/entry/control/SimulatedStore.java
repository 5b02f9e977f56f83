package org.amaranthlock.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;

/** Store in virtual time that counts the calls by what they do. */
final class SimulatedStore {
    private final BiConsumer<Long, Runnable> scheduler;
    private final long oneWayMillis;
    private final Map<String, Map<String, StoredObject>> objects = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, Integer> calls = new TreeMap<>();
    private final Set<String> rejectedKinds = new HashSet<>();
    private long revision = 1;
    private long era = 1;
    private long responseDelayMillis;
    private boolean away;

    private record Change(String kind, StoreChange change) {}

    private static final class Watch {
        private final String kind;
        private final long after;
        private final Consumer<StoreReply> result;
        private boolean done;

        private Watch(String kind, long after, Consumer<StoreReply> result) {
            this.kind = kind;
            this.after = after;
            this.result = result;
        }
    }

    /** Creates a store whose messages take {@code oneWayMillis}; the scheduler takes a delay and an action. */
    SimulatedStore(BiConsumer<Long, Runnable> scheduler, long oneWayMillis) {
        this.scheduler = scheduler;
        this.oneWayMillis = oneWayMillis;
    }

    void put(String kind, String name, JsonNode spec) {
        StoredObject known = objects(kind).get(name);
        if (known == null || !known.spec().equals(spec)) {
            StoredObject object = new StoredObject(name, ++revision, spec);
            objects(kind).put(name, object);
            record(kind, new StoreChange(object, false));
        }
    }

    void remove(String kind, String name) {
        StoredObject removed = objects(kind).remove(name);
        record(kind, new StoreChange(new StoredObject(name, ++revision, removed.spec()), true));
    }

    /** Goes back to what was stored before the last changes of an object, with lower revisions. */
    void restore(String kind, String name, JsonNode spec, long olderRevision) {
        revision = olderRevision;
        history.clear();
        objects(kind).put(name, new StoredObject(name, olderRevision, spec));
    }

    /** Has all waiting watches get no response; further calls are answered. */
    void silenceWatches() {
        watches.forEach(watch -> watch.done = true);
        watches.clear();
    }

    /**
     * Comes back from a copy that lacks the last revisions: what was stored holds, with the lower revisions, and waiting
     * watches are cut off.
     */
    void comeBackWithout(long lostRevisions) {
        era++;
        revision = Math.max(1, revision - lostRevisions);
        history.clear();
        List.copyOf(watches).forEach(watch -> {
            watch.done = true;
            watch.result.accept(new StoreReply.Unanswered("cut off"));
        });
        watches.clear();
    }

    private StorePosition position() {
        return new StorePosition(era, revision);
    }

    /** Sets whether calls get no response. */
    void away(boolean newAway) {
        away = newAway;
    }

    /** Has the store reject all calls for a kind. */
    void reject(String kind) {
        rejectedKinds.add(kind);
    }

    /** Sets by how much responses are late. */
    void responseDelay(long millis) {
        responseDelayMillis = millis;
    }

    /** Returns the calls since the last one of this method, by what they do. */
    Map<String, Integer> takeCalls() {
        Map<String, Integer> taken = new TreeMap<>(calls);
        calls.clear();
        return taken;
    }

    /**
     * Returns the store as a host reaches it.
     *
     * @param process runs what the host does, later while it is suspended, and never after its end
     * @param cut whether the host's calls get no response
     */
    PlatformStore clientOf(Consumer<Runnable> process, BooleanSupplier cut) {
        return new Client(process, cut);
    }

    private Map<String, StoredObject> objects(String kind) {
        return objects.computeIfAbsent(kind, _ -> new TreeMap<>());
    }

    private void record(String kind, StoreChange change) {
        history.add(new Change(kind, change));
        List.copyOf(watches).stream().filter(watch -> watch.kind.equals(kind)).forEach(this::finish);
    }

    private void finish(Watch watch) {
        if (!watch.done) {
            watch.done = true;
            watches.remove(watch);
            List<StoreChange> changes = history.stream()
                    .filter(change -> change.kind().equals(watch.kind))
                    .map(Change::change)
                    .filter(change -> change.object().revision() > watch.after)
                    .toList();
            watch.result.accept(new StoreReply.Changes(changes, position()));
        }
    }

    private final class Client implements PlatformStore {
        private final Consumer<Runnable> process;
        private final BooleanSupplier cut;

        /** Whether a connection is open on which an earlier call got its response. */
        private boolean keepsConnection;

        private Client(Consumer<Runnable> process, BooleanSupplier cut) {
            this.process = process;
            this.cut = cut;
        }

        @Override
        public void read(String kind, String name, long timeoutMillis, Consumer<StoreReply> result) {
            call(kind + "-read", timeoutMillis, result, answer -> {
                StoredObject found = objects(kind).get(name);
                answer.accept(found == null ? new StoreReply.Missing() : new StoreReply.Found(found));
            });
        }

        @Override
        public void list(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
            call(kind + "-list", timeoutMillis, result, answer -> answer.accept(page(kind)));
        }

        @Override
        public void listStale(String kind, String afterName, long timeoutMillis, Consumer<StoreReply> result) {
            call(kind + "-list", timeoutMillis, result, answer -> answer.accept(page(kind)));
        }

        @Override
        public void write(String kind, String name, JsonNode spec, long timeoutMillis, Consumer<StoreReply> result) {
            call(kind + "-write", timeoutMillis, result, answer -> {
                put(kind, name, spec);
                answer.accept(new StoreReply.Found(objects(kind).get(name)));
            });
        }

        @Override
        public void watch(String kind, long after, long waitMillis, long timeoutMillis, Consumer<StoreReply> result) {
            call(kind + "-watch", timeoutMillis, result, answer -> {
                if (after > revision) {
                    answer.accept(new StoreReply.HistoryGone());
                    return;
                }
                Watch watch = new Watch(kind, after, answer);
                watches.add(watch);
                boolean changed = history.stream()
                        .anyMatch(change -> change.kind().equals(kind)
                                && change.change().object().revision() > after);
                scheduler.accept(changed ? 0 : waitMillis, () -> finish(watch));
            });
        }

        private StoreReply page(String kind) {
            if (rejectedKinds.contains(kind)) {
                return new StoreReply.Refused(503);
            }
            return new StoreReply.Page(List.copyOf(objects(kind).values()), Optional.empty(), position());
        }

        private void call(
                String what, long timeoutMillis, Consumer<StoreReply> result, Consumer<Consumer<StoreReply>> handler) {
            process.accept(() -> send(what, timeoutMillis, result, handler));
        }

        private void send(
                String what, long timeoutMillis, Consumer<StoreReply> result, Consumer<Consumer<StoreReply>> handler) {
            calls.merge(what, 1, Integer::sum);
            Once once = new Once(result);
            boolean kept = keepsConnection;
            scheduler.accept(timeoutMillis, () -> {
                keepsConnection &= once.called;
                once.accept(new StoreReply.Unanswered("no response", kept));
            });
            if (!away && !cut.getAsBoolean()) {
                Consumer<StoreReply> answer = reply -> scheduler.accept(oneWayMillis + responseDelayMillis, () -> {
                    if (!cut.getAsBoolean()) {
                        keepsConnection = true;
                        once.accept(reply);
                    }
                });
                scheduler.accept(oneWayMillis, () -> handler.accept(answer));
            }
        }

        private final class Once implements Consumer<StoreReply> {
            private final Consumer<StoreReply> result;
            private boolean called;

            private Once(Consumer<StoreReply> result) {
                this.result = result;
            }

            @Override
            public void accept(StoreReply reply) {
                process.accept(() -> {
                    if (!called) {
                        called = true;
                        result.accept(reply);
                    }
                });
            }
        }
    }
}
