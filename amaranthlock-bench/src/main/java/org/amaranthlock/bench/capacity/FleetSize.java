package org.amaranthlock.bench.capacity;

/**
 * Describes the size and load of a measured fleet.
 *
 * @param routers number of routers
 * @param targets number of targets, all engines, distributed over four services
 * @param accounts number of client accounts, each with a rate limit
 * @param requestsPerRouterPerSecond requests per second at each router
 * @param tokensPerGeneration number of tokens of each generation
 * @param changesPerSecond configuration changes per second in the whole fleet
 */
record FleetSize(
        int routers,
        int targets,
        int accounts,
        double requestsPerRouterPerSecond,
        int tokensPerGeneration,
        double changesPerSecond) {
    /**
     * The size that the design has to support: 6,100 requests per second over all routers and 6,200 configuration
     * changes per day.
     */
    static final FleetSize DESIGN_SIZE = new FleetSize(330, 6_200, 5_300, 6_100.0 / 330, 540, 6_200 / 86_400.0);

    /** Returns a fleet without requests or configuration changes. */
    static FleetSize idle(int routers, int targets, int accounts) {
        return new FleetSize(routers, targets, accounts, 0, 1, 0);
    }

    FleetSize withRequests(double perRouter, int tokensEach) {
        return new FleetSize(routers, targets, accounts, perRouter, tokensEach, changesPerSecond);
    }

    FleetSize withChanges(double perSecond) {
        return new FleetSize(routers, targets, accounts, requestsPerRouterPerSecond, tokensPerGeneration, perSecond);
    }
}
