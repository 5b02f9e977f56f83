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
 * Writes configuration changes of operators with conditional updates.
 *
 * <p>If the response to a write is lost, the entry is read back: it contains the change id of the write if that took
 * effect. Otherwise the write is retried with the same expected version, so it cannot take effect twice.
 */
final class ConfigurationWriter {
    static final int HISTORY_LENGTH = 10;
    private static final long RETRY_MILLIS = 250;
    private static final long CHANGE_TIMEOUT_MILLIS = 10_000;

    private final ConfigurationTable table;
    private final OperationNumberGenerator operationNumbers;
    private final Consumer<ConfigurationEntry> acceptedListener;
    private final Map<Long, Change> pendingChanges = new LinkedHashMap<>();
    private final List<Change> retries = new ArrayList<>();

    /**
     * Creates a writer.
     *
     * @param table the entries against which references are validated
     * @param operationNumbers source of operation numbers
     * @param acceptedListener receives every accepted entry before the operator receives the response
     */
    ConfigurationWriter(
            ConfigurationTable table,
            OperationNumberGenerator operationNumbers,
            Consumer<ConfigurationEntry> acceptedListener) {
        this.table = table;
        this.operationNumbers = operationNumbers;
        this.acceptedListener = acceptedListener;
    }

    void submit(PutConfiguration request, long nowMillis, List<Command> commands) {
        List<String> errors;
        try {
            errors = validate(request);
        } catch (AmaranthlockException invalid) {
            commands.add(new OperatorCommand.Failed(request.call(), invalid.code(), invalid.getMessage()));
            return;
        }
        if (!errors.isEmpty()) {
            String detail = "configuration entry " + request.kind() + "/" + request.name() + " is not valid: "
                    + String.join("; ", errors);
            commands.add(new OperatorCommand.Failed(request.call(), ErrorCode.INVALID_REQUEST, detail));
            return;
        }
        read(new Change(request, nowMillis), commands);
    }

    private List<String> validate(PutConfiguration request) {
        ConfigurationParser.requireValidName(request.kind(), request.name());
        List<String> errors = new ArrayList<>();
        if (request.changeId().isBlank()) {
            errors.add("the change id is blank; send a unique one");
        }
        if (request.text().isPresent()) {
            ParsedEntry value = ConfigurationParser.parse(
                    request.kind(), request.name(), request.text().get());
            errors.addAll(ConfigurationReferences.findUnresolved(value, table));
        } else {
            errors.addAll(ConfigurationReferences.findBrokenByDeletion(request.kind(), request.name(), table));
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
        pendingChanges.values().removeIf(change -> {
            boolean timedOut = nowMillis - change.startedMillis >= CHANGE_TIMEOUT_MILLIS;
            if (timedOut) {
                commands.add(platformUnavailable(change, "the platform did not respond in time"));
            }
            return timedOut;
        });
    }

    void handle(ObjectApiEvent event, long nowMillis, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.ReadDone done -> {
                Change change = pendingChanges.remove(done.operation());
                if (change != null) {
                    resolveRead(change, done.object(), commands);
                }
            }
            case ObjectApiEvent.WriteApplied applied -> {
                Change change = pendingChanges.remove(applied.operation());
                if (change != null) {
                    reportAccepted(change, change.toEntry(applied.revision()), commands);
                }
            }
            case ObjectApiEvent.WriteConflicted conflicted -> {
                Change change = pendingChanges.remove(conflicted.operation());
                if (change != null) {
                    read(change, commands);
                }
            }
            case ObjectApiEvent.WriteUnknown unknown -> {
                Change change = pendingChanges.remove(unknown.operation());
                if (change != null) {
                    change.outcomeUnknown = true;
                    read(change, commands);
                }
            }
            case ObjectApiEvent.OperationFailed failed -> {
                Change change = pendingChanges.remove(failed.operation());
                if (change != null) {
                    handleFailure(change, failed.reason(), nowMillis, commands);
                }
            }
            default -> {}
        }
    }

    private void read(Change change, List<Command> commands) {
        change.writing = false;
        long operation = operationNumbers.next();
        pendingChanges.put(operation, change);
        commands.add(new ObjectApiCommand.Read(operation, change.key()));
    }

    private void resolveRead(Change change, Optional<VersionedObject> object, List<Command> commands) {
        Optional<ConfigurationEntry> current = object.flatMap(ConfigurationWriter::toEntry);
        Optional<ConfigurationEntry> written = current.flatMap(entry -> findWrittenVersion(change, entry));
        if (written.isPresent()) {
            current.ifPresent(acceptedListener);
            reportAccepted(change, written.get(), commands);
            return;
        }
        long revision = object.map(VersionedObject::revision).orElse(0L);
        boolean deleted = current.isPresent() && current.get().version().text().isEmpty();
        long expected = change.request.expectedRevision();
        if (expected != revision && !(expected == 0 && deleted)) {
            String detail = "configuration entry " + change.key().substring("config/".length()) + " has revision "
                    + (deleted ? "0 (deleted)" : Long.toString(revision)) + ", not " + expected
                    + "; read it again and retry the change with the current revision";
            commands.add(new OperatorCommand.Failed(change.request.call(), ErrorCode.VERSION_CONFLICT, detail));
            return;
        }
        change.previous = current;
        change.writing = true;
        long operation = operationNumbers.next();
        pendingChanges.put(operation, change);
        long version = object.map(VersionedObject::version).orElse(0L);
        commands.add(new ObjectApiCommand.Write(operation, change.key(), version, change.toEntry(0)));
    }

    private void handleFailure(Change change, String reason, long nowMillis, List<Command> commands) {
        change.writing = false;
        if (change.outcomeUnknown && nowMillis - change.startedMillis < CHANGE_TIMEOUT_MILLIS) {
            change.retryAtMillis = nowMillis + RETRY_MILLIS;
            retries.add(change);
        } else {
            commands.add(platformUnavailable(change, reason));
        }
    }

    private void reportAccepted(Change change, ConfigurationEntry entry, List<Command> commands) {
        acceptedListener.accept(entry);
        commands.add(new OperatorCommand.ConfigurationAccepted(change.request.call(), entry));
    }

    private static OperatorCommand.Failed platformUnavailable(Change change, String reason) {
        String state = change.outcomeUnknown || change.writing
                ? "it is unknown whether the change took effect; retry it with the same change id to find out"
                : "the change was not written; retry it later";
        return new OperatorCommand.Failed(
                change.request.call(),
                ErrorCode.PLATFORM_UNAVAILABLE,
                "could not complete the write of configuration entry "
                        + change.key().substring("config/".length()) + " (" + reason + "): " + state);
    }

    /** Converts a platform object to an entry with the revision that the platform assigned; empty for other objects. */
    static Optional<ConfigurationEntry> toEntry(VersionedObject object) {
        if (!(object.value() instanceof ConfigurationEntry entry)) {
            return Optional.empty();
        }
        ConfigurationVersion stored = entry.version();
        ConfigurationVersion version = new ConfigurationVersion(
                object.revision(), stored.text(), stored.author(), stored.changeId(), stored.atMillis());
        return Optional.of(new ConfigurationEntry(entry.kind(), entry.name(), version, entry.history()));
    }

    private static Optional<ConfigurationEntry> findWrittenVersion(Change change, ConfigurationEntry current) {
        String changeId = change.request.changeId();
        if (current.version().changeId().equals(changeId)) {
            return Optional.of(current);
        }
        for (int i = 0; i < current.history().size(); i++) {
            ConfigurationVersion version = current.history().get(i);
            if (version.changeId().equals(changeId)) {
                List<ConfigurationVersion> olderVersions =
                        current.history().subList(i + 1, current.history().size());
                return Optional.of(new ConfigurationEntry(current.kind(), current.name(), version, olderVersions));
            }
        }
        return Optional.empty();
    }

    private static final class Change {
        private final PutConfiguration request;
        private final long startedMillis;
        private Optional<ConfigurationEntry> previous = Optional.empty();
        private boolean writing;
        private boolean outcomeUnknown;
        private long retryAtMillis;

        private Change(PutConfiguration request, long startedMillis) {
            this.request = request;
            this.startedMillis = startedMillis;
        }

        private String key() {
            return "config/" + request.kind() + "/" + request.name();
        }

        private ConfigurationEntry toEntry(long revision) {
            List<ConfigurationVersion> history = new ArrayList<>();
            previous.ifPresent(entry -> {
                history.add(entry.version());
                history.addAll(entry.history());
            });
            ConfigurationVersion version = new ConfigurationVersion(
                    revision, request.text(), request.author(), request.changeId(), startedMillis);
            List<ConfigurationVersion> retainedHistory = history.subList(0, Math.min(HISTORY_LENGTH, history.size()));
            return new ConfigurationEntry(request.kind(), request.name(), version, retainedHistory);
        }
    }
}
