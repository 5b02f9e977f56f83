package org.amaranthlock.bench.sim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Simulated engines of one service, distributed over regions and failure domains. */
public final class EngineFleet {
    /** One-way delay within a region. */
    private static final double SAME_REGION_DELAY_MILLIS = 1;

    /** One-way delay between regions. */
    private static final double OTHER_REGION_DELAY_MILLIS = 12;

    private final Map<TargetId, SimulatedEngine> engines = new LinkedHashMap<>();

    /**
     * Creates a fleet of engines.
     *
     * @param service service that all engines provide
     * @param count number of engines
     * @param regions number of regions; engine {@code i} is in region {@code i % regions}
     * @param domainsPerRegion number of failure domains in a region
     * @param settings settings of each engine
     * @param scheduler scheduler of the engines' steps
     */
    public EngineFleet(
            ServiceName service,
            int count,
            int regions,
            int domainsPerRegion,
            EngineSettings settings,
            VirtualTimeScheduler scheduler) {
        for (int i = 0; i < count; i++) {
            String region = "region-" + i % regions;
            String domain = region + "-domain-" + i / regions % domainsPerRegion;
            Target target = new Target(
                    new TargetId("engine-%02d".formatted(i)),
                    service,
                    "10.0.0." + (i + 1) + ":8000",
                    new Region(region),
                    new FailureDomain(domain),
                    "model-1",
                    "v1",
                    settings.slots(),
                    Set.of(Capability.ATTACH, Capability.RESUME));
            engines.put(target.id(), new SimulatedEngine(target, settings, scheduler));
        }
    }

    /** Returns all engines, in order of id. */
    public Collection<SimulatedEngine> engines() {
        return engines.values();
    }

    /** Returns the engine with the given id. */
    public SimulatedEngine engine(TargetId id) {
        return engines.get(id);
    }

    /** Returns all targets, in order of id. */
    public List<Target> targets() {
        List<Target> targets = new ArrayList<>();
        engines.values().forEach(engine -> targets.add(engine.target()));
        return targets;
    }

    /** Returns the one-way delay between a router's region and a target, in milliseconds. */
    public static double oneWayDelayMillis(Region from, Target target) {
        return from.equals(target.region()) ? SAME_REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS;
    }
}
