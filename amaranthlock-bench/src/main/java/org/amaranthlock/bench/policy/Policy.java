package org.amaranthlock.bench.policy;

import org.amaranthlock.coordination.admission.AdmissionController;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.model.Region;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.UniformRandomProvider;

/** Strategy for selecting targets and admitting requests. */
public interface Policy {
    /** Returns the title in the table. */
    String title();

    /** Creates the components of one router. */
    Components create(Context context);

    /**
     * Dependencies that the components of a router may use.
     *
     * @param directory targets and their availability
     * @param configuration configuration of accounts and services
     * @param membership view of the routers
     * @param region region of the router
     * @param random seeded random generator
     */
    record Context(
            TargetDirectory directory,
            ConfigurationView configuration,
            MembershipView membership,
            Region region,
            UniformRandomProvider random) {}

    /**
     * Components of a router that decide about its requests.
     *
     * @param selector selects targets
     * @param admission admits requests
     */
    record Components(TargetSelector selector, AdmissionController admission) {}
}
