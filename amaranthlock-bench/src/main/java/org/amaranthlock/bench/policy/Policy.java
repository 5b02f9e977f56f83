package org.amaranthlock.bench.policy;

import org.amaranthlock.coordination.admission.AdmissionController;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.routing.TargetSelector;
import org.amaranthlock.model.Region;
import org.amaranthlock.state.TargetDirectory;
import org.apache.commons.rng.UniformRandomProvider;

/** A named way of choosing targets and admitting requests. */
public interface Policy {
    /** Returns the name in the table. */
    String title();

    /** Creates the decision makers of one router. */
    Components create(Context surroundings);

    /**
     * What the decision makers of a router may look at.
     *
     * @param directory the targets
     * @param configuration accounts and services
     * @param membership the routers
     * @param region region of the router
     * @param random seeded source of randomness
     */
    record Context(
            TargetDirectory directory,
            ConfigurationView configuration,
            MembershipView membership,
            Region region,
            UniformRandomProvider random) {}

    /**
     * The decision makers of a router.
     *
     * @param selector chooses targets
     * @param admission admits requests
     */
    record Components(TargetSelector selector, AdmissionController admission) {}
}
