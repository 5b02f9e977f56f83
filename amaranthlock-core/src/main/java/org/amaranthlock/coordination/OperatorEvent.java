package org.amaranthlock.coordination;

import java.util.Optional;
import org.amaranthlock.model.RequestId;

/** Call of an operator; the {@link OperatorCommand} with the same call number is its response. */
public sealed interface OperatorEvent extends Event {
    /** Returns the number that matches call and response. */
    long call();

    /**
     * Writes or deletes a configuration entry.
     *
     * @param call call number
     * @param kind kind of the entry
     * @param name name of the entry
     * @param expectedRevision revision that the entry must have; 0 if the entry must not exist
     * @param text value in TOML; empty to delete the entry
     * @param author name of the operator
     * @param changeId unique identifier of the change
     */
    record PutConfiguration(
            long call,
            String kind,
            String name,
            long expectedRevision,
            Optional<String> text,
            String author,
            String changeId)
            implements OperatorEvent {}

    /** Reads configuration entries; an empty kind or name matches all. */
    record GetConfiguration(long call, String kind, String name) implements OperatorEvent {}

    /** Reads the outcome record of a request. */
    record ShowOutcome(long call, RequestId request) implements OperatorEvent {}

    /** Lists the targets in this router's subset. */
    record ListTargets(long call) implements OperatorEvent {}

    /** Starts the graceful shutdown of this router. */
    record Drain(long call) implements OperatorEvent {}
}
