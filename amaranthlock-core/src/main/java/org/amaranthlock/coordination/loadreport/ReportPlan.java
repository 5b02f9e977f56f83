package org.amaranthlock.coordination.loadreport;

import java.util.HashSet;
import java.util.Set;

/**
 * Hosts to which one host sends load reports.
 *
 * @param direct hosts that get its own report and pass it on to nobody
 * @param relays other hosts of its failure domain that get its own report and pass it on
 * @param relaysItself whether it also passes on its own report
 * @param members hosts of its failure domain that get all that it passes on
 * @param remoteRelays hosts of other failure domains that get what it passes on of its own domain, and pass it on
 */
public record ReportPlan(
        Set<String> direct, Set<String> relays, boolean relaysItself, Set<String> members, Set<String> remoteRelays) {
    /** Copies the sets. */
    public ReportPlan {
        direct = Set.copyOf(direct);
        relays = Set.copyOf(relays);
        members = Set.copyOf(members);
        remoteRelays = Set.copyOf(remoteRelays);
    }

    /** Returns whether reports of this host go through others, and so take longer. */
    public boolean usesRelays() {
        return relaysItself || !relays.isEmpty();
    }

    /** Returns the hosts that get what this one passes on. */
    public Set<String> passOnRecipients() {
        Set<String> recipients = new HashSet<>(members);
        recipients.addAll(remoteRelays);
        return recipients;
    }
}
