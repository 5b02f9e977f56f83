package org.amaranthlock.coordination;

import java.util.Optional;
import org.amaranthlock.model.RequestId;

/** Demand of an operator; answered by the {@link OperatorCommand} with the same call number. */
public sealed interface OperatorEvent extends Event {
    /** Number that connects demand and answer. */
    long call();

    /**
     * Writes or deletes a configuration entry.
     *
     * @param call call number
     * @param kind kind of entry
     * @param name name of the entry
     * @param expectedRevision revision that the operator saw; 0 if the entry must not exist
     * @param text value as TOML; empty deletes the entry
     * @param author name of the operator
     * @param changeId unique id of the change
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

    /** Reads configuration entries; an empty kind or name stands for all. */
    record GetConfiguration(long call, String kind, String name) implements OperatorEvent {}

    /** Reads the outcome record of a request. */
    record ShowOutcome(long call, RequestId request) implements OperatorEvent {}

    /** Lists the targets that this router knows. */
    record ListTargets(long call) implements OperatorEvent {}

    /** Starts the graceful shutdown of this router. */
    record Drain(long call) implements OperatorEvent {}
}
