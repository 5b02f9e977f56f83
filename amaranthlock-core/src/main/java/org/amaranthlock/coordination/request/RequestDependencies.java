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
 * The parts of the decision core that a request relies on.
 *
 * @param membership the routers
 * @param configuration the configuration in force
 * @param targets the targets of this router
 * @param selector choice of a target
 * @param admission admission, queue and retry budget
 * @param ledger claims and outcome records
 * @param poison blame for target deaths
 * @param checkpoints checkpoints of open requests
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
