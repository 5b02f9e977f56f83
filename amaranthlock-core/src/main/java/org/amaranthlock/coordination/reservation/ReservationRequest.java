package org.amaranthlock.coordination.reservation;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.TargetId;

/**
 * Asks the keeper of a group for a reservation at one of several engines.
 *
 * @param promptMillis time that a typical engine takes to prefill the prompt, in milliseconds
 * @param candidates engines that the host may use; at least one
 */
public record ReservationRequest(long promptMillis, List<Candidate> candidates) {
    /** Largest number of candidates; more would rarely be the best ones and only lengthen the message. */
    public static final int MAX_CANDIDATES = 16;

    /**
     * Engine that a host may use.
     *
     * @param costMillis expected delay there as estimated by the host, without prompts ahead, in milliseconds
     */
    public record Candidate(TargetId target, long costMillis) {
        public Candidate {
            Objects.requireNonNull(target, "target");
            Arguments.requireNonNegative(costMillis, "cost");
        }
    }

    public ReservationRequest {
        Arguments.requirePositive(promptMillis, "time of a prompt");
        candidates = List.copyOf(candidates);
        Arguments.require(!candidates.isEmpty(), "a reservation request must name a candidate");
    }
}
