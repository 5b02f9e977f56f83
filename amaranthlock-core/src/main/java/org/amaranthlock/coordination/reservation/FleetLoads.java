package org.amaranthlock.coordination.reservation;

import org.amaranthlock.model.TargetId;

/** What a host knows of the other hosts and of the load of engines. */
public interface FleetLoads {
    /** Returns whether another host has reported recently. */
    boolean isReporting(String host);

    /** Returns the prompts that wait or are prefilled at an engine, according to the reports and this host's own. */
    int prompts(TargetId engine);

    /** Returns the time that an engine takes for a prompt, as a multiple of the time of its peers. */
    double slowness(TargetId engine);
}
