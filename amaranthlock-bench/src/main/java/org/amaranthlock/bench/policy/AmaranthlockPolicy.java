package org.amaranthlock.bench.policy;

import org.amaranthlock.coordination.admission.DefaultAdmissionController;
import org.amaranthlock.coordination.routing.DefaultTargetSelector;

/** Policy of the product: its own target selector and admission controller. */
public final class AmaranthlockPolicy implements Policy {
    /** Title in the table. */
    public static final String TITLE = "amaranthlock";

    @Override
    public String title() {
        return TITLE;
    }

    @Override
    public Components create(Context context) {
        DefaultTargetSelector selector =
                new DefaultTargetSelector(context.directory(), context.region(), context.random());
        DefaultAdmissionController admission = new DefaultAdmissionController(
                selector, context.configuration(), context.membership(), context.random());
        return new Components(selector, admission);
    }
}
