package org.amaranthlock.coordination.promptpart;

import java.util.List;
import java.util.Set;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.PromptPartId;

/**
 * What a host tells the others of prompt parts that may crash targets.
 *
 * @param host name of the host
 * @param evidence crashes and answers; parts that are not named are unchanged
 * @param claimed suspect parts that the host is about to try
 * @param tried suspect parts that a request of the host is trying
 */
public record PromptPartReport(
        String host, List<PartEvidence> evidence, Set<PromptPartId> claimed, Set<PromptPartId> tried) {
    public PromptPartReport {
        Arguments.requireText(host, "host");
        evidence = List.copyOf(evidence);
        claimed = Set.copyOf(claimed);
        tried = Set.copyOf(tried);
    }
}
