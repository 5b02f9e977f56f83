package org.amaranthlock.bench.scenario;

import org.amaranthlock.bench.policy.Policy;

/**
 * One run of the bench.
 *
 * @param deployment size and work
 * @param demand demand over time
 * @param fault what goes wrong
 * @param policy the policy under test
 * @param arrivalsMillis requests arrive up to this time
 * @param drainMillis time after the last arrival in which open requests may end
 * @param seed seed of all randomness
 */
public record SimulationSettings(
        Deployment deployment,
        Demand demand,
        Fault fault,
        Policy policy,
        long arrivalsMillis,
        long drainMillis,
        long seed) {}
