package org.amaranthlock.coordination.loadreport;

import java.util.Objects;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.FailureDomain;

/**
 * Host to which this one is connected.
 *
 * @param passesOn whether its build passes reports on; one that does not gets each host's own report from it
 * @param responsive whether it reports and answers, so that others may rely on it
 */
public record ReportPeer(String name, FailureDomain domain, boolean passesOn, boolean responsive) {
    /** Checks that the name and the domain are present. */
    public ReportPeer {
        Arguments.requireText(name, "name");
        Objects.requireNonNull(domain, "domain");
    }
}
