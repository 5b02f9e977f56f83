package org.amaranthlock.coordination.promptpart;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.PromptPartId;

/**
 * What a host tells the others of one prompt part.
 *
 * @param part the part
 * @param crashes consecutive crashes under requests with it
 * @param companions parts that all these requests have in common with it
 * @param crashAgeMillis time since the last crash, in milliseconds; empty if there was none
 * @param begunAgeMillis time since a target last began to answer a request with it, in milliseconds; empty if none is
 *     known to have
 */
public record PartEvidence(
        PromptPartId part,
        int crashes,
        Set<PromptPartId> companions,
        OptionalLong crashAgeMillis,
        OptionalLong begunAgeMillis) {
    public PartEvidence {
        Objects.requireNonNull(part, "part");
        Arguments.requireNonNegative(crashes, "crashes");
        companions = Set.copyOf(companions);
        Objects.requireNonNull(crashAgeMillis, "crash age");
        Objects.requireNonNull(begunAgeMillis, "begun age");
    }
}
