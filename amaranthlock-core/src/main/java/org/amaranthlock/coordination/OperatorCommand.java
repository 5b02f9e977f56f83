package org.amaranthlock.coordination;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;

/** Response to the {@link OperatorEvent} with the same call number. */
public sealed interface OperatorCommand extends Command {
    /** Returns the number of the call that this responds to. */
    long call();

    /** Confirms that a configuration change took effect. */
    record ConfigurationAccepted(long call, ConfigurationEntry entry) implements OperatorCommand {}

    /** Returns configuration entries, ordered by kind and name. */
    record ConfigurationShown(long call, List<ConfigurationEntry> entries) implements OperatorCommand {
        public ConfigurationShown {
            entries = List.copyOf(entries);
        }
    }

    /** Returns the outcome record of a request, if there is one. */
    record OutcomeShown(long call, Optional<OutcomeRecord> record) implements OperatorCommand {}

    /**
     * State of a target as seen by this router.
     *
     * @param target the target
     * @param available whether it receives new requests
     * @param reason why it receives none; empty if available
     * @param inFlight number of this router's attempts that run there
     */
    record TargetStatus(Target target, boolean available, String reason, int inFlight) {}

    /** Returns the targets of this router. */
    record TargetsShown(long call, List<TargetStatus> targets) implements OperatorCommand {
        public TargetsShown {
            targets = List.copyOf(targets);
        }
    }

    /** Confirms that the graceful shutdown has started. */
    record DrainStarted(long call, int openRequests) implements OperatorCommand {}

    /** Reports that the call failed; {@code detail} names the remedy. */
    record Failed(long call, ErrorCode code, String detail) implements OperatorCommand {}
}
