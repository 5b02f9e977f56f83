package org.amaranthlock.bench.scenario;

import org.amaranthlock.bench.policy.Policy;

/**
 * Settings of one simulation.
 *
 * @param deployment size and workload of the deployment
 * @param demand request rate over time
 * @param fault fault to inject
 * @param policy the policy under test
 * @param arrivalsMillis time during which requests arrive
 * @param drainMillis time after the last arrival during which open requests can still end
 * @param seed seed of all random generators
 */
public record SimulationSettings(
        Deployment deployment,
        Demand demand,
        SimulatedFault fault,
        Policy policy,
        long arrivalsMillis,
        long drainMillis,
        long seed) {}
