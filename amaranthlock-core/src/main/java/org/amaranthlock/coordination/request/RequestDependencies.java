package org.amaranthlock.coordination.request;

import java.util.Objects;
import org.amaranthlock.coordination.admission.AdmissionController;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.ledger.LedgerClient;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.poison.PoisonRegistry;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.state.TargetDirectory;

/**
 * Components that request processing uses.
 *
 * @param membership view of the live routers
 * @param configuration current configuration
 * @param targets targets known to this router
 * @param selector target selection
 * @param admission admission, queue and retry budget
 * @param ledger claims and outcome records
 * @param poison registry of requests that crash targets
 * @param checkpoints replicated checkpoints of open requests
 */
public record RequestDependencies(
        MembershipView membership,
        ConfigurationView configuration,
        TargetDirectory targets,
        TargetSelector selector,
        AdmissionController admission,
        LedgerClient ledger,
        PoisonRegistry poison,
        CheckpointStore checkpoints) {
    public RequestDependencies {
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(targets, "targets");
        Objects.requireNonNull(selector, "selector");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(ledger, "ledger");
        Objects.requireNonNull(poison, "poison");
        Objects.requireNonNull(checkpoints, "checkpoints");
    }
}
