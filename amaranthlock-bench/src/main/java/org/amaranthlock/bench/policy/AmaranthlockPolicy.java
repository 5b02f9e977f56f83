package org.amaranthlock.bench.policy;

import org.amaranthlock.coordination.admission.DefaultAdmissionController;
import org.amaranthlock.coordination.routing.DefaultTargetSelector;

/** The policy of the product. */
public final class AmaranthlockPolicy implements Policy {
    /** Name in the table. */
    public static final String TITLE = "amaranthlock";

    @Override
    public String title() {
        return TITLE;
    }

    @Override
    public Components create(Context surroundings) {
        DefaultTargetSelector selector =
                new DefaultTargetSelector(surroundings.directory(), surroundings.region(), surroundings.random());
        DefaultAdmissionController admission = new DefaultAdmissionController(
                selector, surroundings.configuration(), surroundings.membership(), surroundings.random());
        return new Components(selector, admission);
    }
}
