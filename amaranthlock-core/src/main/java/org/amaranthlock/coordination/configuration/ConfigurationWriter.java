package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent.PutConfiguration;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * Writes the changes of operators with conditional updates.
 *
 * <p>A lost answer is settled by reading the entry back: it holds the change id of the write if that took effect. A
 * write that did not show up is repeated with the same expected version, so it can't take effect twice.
 */
final class ConfigurationWriter {
    static final int HISTORY_LENGTH = 10;
    private static final long RETRY_MILLIS = 250;
    private static final long CHANGE_TIMEOUT_MILLIS = 10_000;

    private final ConfigurationTable table;
    private final OperationNumberGenerator numbers;
    private final Consumer<ConfigurationEntry> accepted;
    private final Map<Long, Change> waiting = new LinkedHashMap<>();
    private final List<Change> retries = new ArrayList<>();

    /**
     * Creates a writer.
     *
     * @param table the entries that references are checked against
     * @param numbers source of operation numbers
     * @param accepted is told of every accepted entry, before the operator is
     */
    ConfigurationWriter(
            ConfigurationTable table, OperationNumberGenerator numbers, Consumer<ConfigurationEntry> accepted) {
        this.table = table;
        this.numbers = numbers;
        this.accepted = accepted;
    }

    void start(PutConfiguration demand, long nowMillis, List<Command> commands) {
        List<String> errors;
        try {
            errors = validate(demand);
        } catch (AmaranthlockException invalid) {
            commands.add(new OperatorCommand.Failed(demand.call(), invalid.code(), invalid.getMessage()));
            return;
        }
        if (!errors.isEmpty()) {
            String detail = "configuration entry " + demand.kind() + "/" + demand.name() + " is not valid: "
                    + String.join("; ", errors);
            commands.add(new OperatorCommand.Failed(demand.call(), ErrorCode.INVALID_REQUEST, detail));
            return;
        }
        read(new Change(demand, nowMillis), commands);
    }

    private List<String> validate(PutConfiguration demand) {
        ConfigurationParser.requireName(demand.kind(), demand.name());
        List<String> errors = new ArrayList<>();
        if (demand.changeId().isBlank()) {
            errors.add("the change id is blank; send a unique one");
        }
        if (demand.text().isPresent()) {
            ParsedEntry value = ConfigurationParser.parse(
                    demand.kind(), demand.name(), demand.text().get());
            errors.addAll(ConfigurationReferences.findMissing(value, table));
        } else {
            errors.addAll(ConfigurationReferences.findBroken(demand.kind(), demand.name(), table));
        }
        return errors;
    }

    void tick(long nowMillis, List<Command> commands) {
        Iterator<Change> changes = retries.iterator();
        List<Change> due = new ArrayList<>();
        while (changes.hasNext()) {
            Change change = changes.next();
            if (nowMillis >= change.retryAtMillis) {
                changes.remove();
                due.add(change);
            }
        }
        due.forEach(change -> read(change, commands));
        waiting.values().removeIf(change -> {
            boolean late = nowMillis - change.startedMillis >= CHANGE_TIMEOUT_MILLIS;
            if (late) {
                commands.add(unavailable(change, "did not answer in time"));
            }
            return late;
        });
    }

    void handle(ObjectApiEvent event, long nowMillis, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.ReadDone done -> {
                Change change = waiting.remove(done.operation());
                if (change != null) {
                    compare(change, done.object(), commands);
                }
            }
            case ObjectApiEvent.WriteApplied applied -> {
                Change change = waiting.remove(applied.operation());
                if (change != null) {
                    accept(change, change.entry(applied.revision()), commands);
                }
            }
            case ObjectApiEvent.WriteConflicted conflicted -> {
                Change change = waiting.remove(conflicted.operation());
                if (change != null) {
                    read(change, commands);
                }
            }
            case ObjectApiEvent.WriteUnknown unknown -> {
                Change change = waiting.remove(unknown.operation());
                if (change != null) {
                    change.inDoubt = true;
                    read(change, commands);
                }
            }
            case ObjectApiEvent.OperationFailed failed -> {
                Change change = waiting.remove(failed.operation());
                if (change != null) {
                    operationFailed(change, failed.reason(), nowMillis, commands);
                }
            }
            default -> {}
        }
    }

    private void read(Change change, List<Command> commands) {
        change.writing = false;
        long operation = numbers.next();
        waiting.put(operation, change);
        commands.add(new ObjectApiCommand.Read(operation, change.key()));
    }

    private void compare(Change change, Optional<VersionedObject> object, List<Command> commands) {
        Optional<ConfigurationEntry> present = object.flatMap(ConfigurationWriter::entry);
        Optional<ConfigurationEntry> own = present.flatMap(entry -> ownVersion(change, entry));
        if (own.isPresent()) {
            present.ifPresent(accepted);
            accept(change, own.get(), commands);
            return;
        }
        long revision = object.map(VersionedObject::revision).orElse(0L);
        boolean deleted = present.isPresent() && present.get().version().text().isEmpty();
        long expected = change.demand.expectedRevision();
        if (expected != revision && !(expected == 0 && deleted)) {
            String detail = "configuration entry " + change.key().substring("config/".length()) + " has revision "
                    + (deleted ? "0 (deleted)" : Long.toString(revision)) + ", not " + expected
                    + "; read it again and repeat the change with the present revision";
            commands.add(new OperatorCommand.Failed(change.demand.call(), ErrorCode.VERSION_CONFLICT, detail));
            return;
        }
        change.base = present;
        change.writing = true;
        long operation = numbers.next();
        waiting.put(operation, change);
        long version = object.map(VersionedObject::version).orElse(0L);
        commands.add(new ObjectApiCommand.Write(operation, change.key(), version, change.entry(0)));
    }

    private void operationFailed(Change change, String reason, long nowMillis, List<Command> commands) {
        change.writing = false;
        if (change.inDoubt && nowMillis - change.startedMillis < CHANGE_TIMEOUT_MILLIS) {
            change.retryAtMillis = nowMillis + RETRY_MILLIS;
            retries.add(change);
        } else {
            commands.add(unavailable(change, reason));
        }
    }

    private void accept(Change change, ConfigurationEntry entry, List<Command> commands) {
        accepted.accept(entry);
        commands.add(new OperatorCommand.ConfigurationAccepted(change.demand.call(), entry));
    }

    private static OperatorCommand.Failed unavailable(Change change, String reason) {
        String state = change.inDoubt || change.writing
                ? "it is unknown whether the change took effect; repeat it with the same change id to learn that"
                : "the change was not written; repeat it later";
        return new OperatorCommand.Failed(
                change.demand.call(), ErrorCode.PLATFORM_UNAVAILABLE, "the platform failed (" + reason + "): " + state);
    }

    /** Returns the entry of a platform object, with the revision that the platform gave it. */
    static Optional<ConfigurationEntry> entry(VersionedObject object) {
        if (!(object.value() instanceof ConfigurationEntry entry)) {
            return Optional.empty();
        }
        ConfigurationVersion stored = entry.version();
        ConfigurationVersion version = new ConfigurationVersion(
                object.revision(), stored.text(), stored.author(), stored.changeId(), stored.atMillis());
        return Optional.of(new ConfigurationEntry(entry.kind(), entry.name(), version, entry.history()));
    }

    private static Optional<ConfigurationEntry> ownVersion(Change change, ConfigurationEntry present) {
        String changeId = change.demand.changeId();
        if (present.version().changeId().equals(changeId)) {
            return Optional.of(present);
        }
        for (int i = 0; i < present.history().size(); i++) {
            ConfigurationVersion version = present.history().get(i);
            if (version.changeId().equals(changeId)) {
                List<ConfigurationVersion> earlier =
                        present.history().subList(i + 1, present.history().size());
                return Optional.of(new ConfigurationEntry(present.kind(), present.name(), version, earlier));
            }
        }
        return Optional.empty();
    }

    private static final class Change {
        private final PutConfiguration demand;
        private final long startedMillis;
        private Optional<ConfigurationEntry> base = Optional.empty();
        private boolean writing;
        private boolean inDoubt;
        private long retryAtMillis;

        private Change(PutConfiguration demand, long startedMillis) {
            this.demand = demand;
            this.startedMillis = startedMillis;
        }

        private String key() {
            return "config/" + demand.kind() + "/" + demand.name();
        }

        private ConfigurationEntry entry(long revision) {
            List<ConfigurationVersion> history = new ArrayList<>();
            base.ifPresent(entry -> {
                history.add(entry.version());
                history.addAll(entry.history());
            });
            ConfigurationVersion version = new ConfigurationVersion(
                    revision, demand.text(), demand.author(), demand.changeId(), startedMillis);
            List<ConfigurationVersion> kept = history.subList(0, Math.min(HISTORY_LENGTH, history.size()));
            return new ConfigurationEntry(demand.kind(), demand.name(), version, kept);
        }
    }
}
