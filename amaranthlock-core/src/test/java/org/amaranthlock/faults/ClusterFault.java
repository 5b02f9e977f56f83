package org.amaranthlock.faults;

import java.util.List;

/**
 * Fault that a test injects into the simulated cluster.
 *
 * <p>Killed processes restart, and silences, pauses, partitions and platform faults end, after a fixed time. Targets
 * that a poison request has crashed stay dead until the cluster is healed.
 */
enum ClusterFault {
    TARGET_KILLED,
    TARGET_SILENT,
    TARGET_PAUSED,
    ROUTER_KILLED,
    ROUTER_PAUSED,
    ROUTER_OUTBOUND_PARTITION,
    ROUTER_FULL_PARTITION,
    PLATFORM_DOWN,
    PLATFORM_SLOW,
    PLATFORM_RESPONSE_LOST,
    CONCURRENT_OPERATOR_WRITES,
    CLOCK_STEP,
    POISON_REQUEST,
    TARGET_DRAINING,
    ROUTER_DRAINING;

    static final long RESTART_DELAY_MILLIS = 4_000;
    static final long SILENCE_MILLIS = 8_000;
    static final long TARGET_PAUSE_MILLIS = 3_000;
    static final long ROUTER_PAUSE_MILLIS = 4_000;
    static final long PARTITION_MILLIS = 6_000;
    static final long OUTAGE_MILLIS = 5_000;
    static final long ADDED_PLATFORM_LATENCY_MILLIS = 400;
    static final long LOST_RESPONSES_MILLIS = 1_000;
    static final long CLOCK_STEP_MILLIS = 1_000;

    /** Returns whether the fault concerns targets, which take no part in a configuration change. */
    boolean affectsTarget() {
        return switch (this) {
            case TARGET_KILLED, TARGET_SILENT, TARGET_PAUSED, POISON_REQUEST, TARGET_DRAINING -> true;
            default -> false;
        };
    }

    /**
     * Injects the fault and schedules its end.
     *
     * @param cluster the cluster
     * @param router number of the router that serves the request
     * @param target the target that executes the request, or another one of its service if none does
     */
    void inject(Cluster cluster, int router, SimulatedTarget target) {
        switch (this) {
            case TARGET_KILLED -> {
                target.kill();
                scheduleEnd(cluster, RESTART_DELAY_MILLIS, target::restart);
            }
            case TARGET_SILENT -> {
                target.setSilent(true);
                scheduleEnd(cluster, SILENCE_MILLIS, () -> target.setSilent(false));
            }
            case TARGET_PAUSED -> target.pause(TARGET_PAUSE_MILLIS);
            case ROUTER_KILLED -> {
                cluster.kill(router);
                scheduleEnd(cluster, RESTART_DELAY_MILLIS, () -> cluster.restart(router));
            }
            case ROUTER_PAUSED -> cluster.node(router).router().pause(ROUTER_PAUSE_MILLIS);
            case ROUTER_OUTBOUND_PARTITION -> partition(cluster, router, false);
            case ROUTER_FULL_PARTITION -> partition(cluster, router, true);
            case PLATFORM_DOWN -> {
                cluster.simulation.platform().setDown(true);
                scheduleEnd(
                        cluster,
                        OUTAGE_MILLIS,
                        () -> cluster.simulation.platform().setDown(false));
            }
            case PLATFORM_SLOW -> {
                cluster.simulation.platform().setAddedLatencyMillis(ADDED_PLATFORM_LATENCY_MILLIS);
                scheduleEnd(
                        cluster,
                        OUTAGE_MILLIS,
                        () -> cluster.simulation.platform().setAddedLatencyMillis(0));
            }
            case PLATFORM_RESPONSE_LOST -> {
                cluster.simulation.platform().setFaults(1, 0);
                scheduleEnd(
                        cluster,
                        LOST_RESPONSES_MILLIS,
                        () -> cluster.simulation.platform().setFaults(0, 0));
            }
            case CONCURRENT_OPERATOR_WRITES -> OperatorActions.writeConcurrently(cluster);
            case CLOCK_STEP -> cluster.advanceClock(router, CLOCK_STEP_MILLIS);
            case POISON_REQUEST ->
                SimulatedClient.poison(cluster, target.target().service().value())
                        .connect(router);
            case TARGET_DRAINING -> cluster.drainTarget(target);
            default -> cluster.drain(router);
        }
    }

    private static void scheduleEnd(Cluster cluster, long millis, Runnable action) {
        cluster.simulation.schedule(millis, action);
    }

    private static void partition(Cluster cluster, int router, boolean bothWays) {
        cluster.blockedSenders.add(router);
        if (bothWays) {
            cluster.blockedReceivers.add(router);
        }
        scheduleEnd(cluster, PARTITION_MILLIS, () -> {
            cluster.blockedSenders.remove(router);
            cluster.blockedReceivers.remove(router);
        });
    }

    static List<ClusterFault> all() {
        return List.of(values());
    }
}
