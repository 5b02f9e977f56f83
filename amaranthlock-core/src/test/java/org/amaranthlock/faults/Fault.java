package org.amaranthlock.faults;

import java.util.List;

/** What can go wrong; every fault but the death of a request's own parts heals by itself after a while. */
enum Fault {
    ENGINE_KILLED,
    ENGINE_SILENT,
    ENGINE_PAUSED,
    ROUTER_KILLED,
    ROUTER_PAUSED,
    ROUTER_CUT_ONE_WAY,
    ROUTER_CUT_BOTH_WAYS,
    PLATFORM_DOWN,
    PLATFORM_SLOW,
    PLATFORM_ANSWER_LOST,
    OPERATORS_RACING,
    CLOCK_SKEW,
    POISON_REQUEST,
    TARGET_LEAVING,
    ROUTER_DRAINING;

    static final long RESTART_MILLIS = 4_000;
    static final long SILENCE_MILLIS = 8_000;
    static final long TARGET_PAUSE_MILLIS = 3_000;
    static final long ROUTER_PAUSE_MILLIS = 4_000;
    static final long CUT_MILLIS = 6_000;
    static final long OUTAGE_MILLIS = 5_000;
    static final long SLOW_BY_MILLIS = 400;
    static final long LOST_ANSWERS_MILLIS = 1_000;
    static final long CLOCK_STEP_MILLIS = 1_000;

    /** Concerns targets, of which a configuration change uses none. */
    boolean affectsTarget() {
        return switch (this) {
            case ENGINE_KILLED, ENGINE_SILENT, ENGINE_PAUSED, POISON_REQUEST, TARGET_LEAVING -> true;
            default -> false;
        };
    }

    /**
     * Strikes.
     *
     * @param cluster the cluster
     * @param router number of the router that serves the request
     * @param target the target that runs the request, or the one that the fault strikes instead
     */
    void inject(Cluster cluster, int router, SimulatedTarget target) {
        switch (this) {
            case ENGINE_KILLED -> {
                target.kill();
                after(cluster, RESTART_MILLIS, target::restart);
            }
            case ENGINE_SILENT -> {
                target.silent(true);
                after(cluster, SILENCE_MILLIS, () -> target.silent(false));
            }
            case ENGINE_PAUSED -> target.pause(TARGET_PAUSE_MILLIS);
            case ROUTER_KILLED -> {
                cluster.kill(router);
                after(cluster, RESTART_MILLIS, () -> cluster.restart(router));
            }
            case ROUTER_PAUSED -> cluster.node(router).router().pause(ROUTER_PAUSE_MILLIS);
            case ROUTER_CUT_ONE_WAY -> cut(cluster, router, false);
            case ROUTER_CUT_BOTH_WAYS -> cut(cluster, router, true);
            case PLATFORM_DOWN -> {
                cluster.simulation.platform().down(true);
                after(
                        cluster,
                        OUTAGE_MILLIS,
                        () -> cluster.simulation.platform().down(false));
            }
            case PLATFORM_SLOW -> {
                cluster.simulation.platform().setAddedLatencyMillis(SLOW_BY_MILLIS);
                after(
                        cluster,
                        OUTAGE_MILLIS,
                        () -> cluster.simulation.platform().setAddedLatencyMillis(0));
            }
            case PLATFORM_ANSWER_LOST -> {
                cluster.simulation.platform().setFaults(1, 0);
                after(
                        cluster,
                        LOST_ANSWERS_MILLIS,
                        () -> cluster.simulation.platform().setFaults(0, 0));
            }
            case OPERATORS_RACING -> OperatorActions.writeConcurrently(cluster);
            case CLOCK_SKEW -> cluster.advanceClock(router, CLOCK_STEP_MILLIS);
            case POISON_REQUEST ->
                SimulatedClient.poison(cluster, target.target().service().value())
                        .connect(router);
            case TARGET_LEAVING -> cluster.drainTarget(target);
            default -> cluster.drain(router);
        }
    }

    private static void after(Cluster cluster, long millis, Runnable action) {
        cluster.simulation.schedule(millis, action);
    }

    private static void cut(Cluster cluster, int router, boolean bothWays) {
        cluster.cutFrom.add(router);
        if (bothWays) {
            cluster.cutTo.add(router);
        }
        after(cluster, CUT_MILLIS, () -> {
            cluster.cutFrom.remove(router);
            cluster.cutTo.remove(router);
        });
    }

    static List<Fault> all() {
        return List.of(values());
    }
}
