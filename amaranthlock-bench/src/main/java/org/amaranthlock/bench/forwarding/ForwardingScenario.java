package org.amaranthlock.bench.forwarding;

import org.amaranthlock.model.Arguments;
import org.amaranthlock.standin.fleet.EngineConfig;

/**
 * Load and failures of a simulation, with values like those in the specification.
 *
 * @param title title in tables
 * @param hosts number of entry hosts
 * @param domains number of failure domains, over which hosts and engines are distributed
 * @param engines number of engines
 * @param engineConfig size and speed of each engine
 * @param streamsPerSecond streams that arrive per second, at all hosts together
 * @param promptTokens prompt tokens of a stream, without the shared prefix
 * @param meanEvents mean number of events of a stream
 * @param crossDomainDelayMillis one-way network delay between failure domains; not read by the simulation, which has a
 *     constant of its own
 * @param crashIntervalMillis time between two crashes of a failure domain; 0 for no crashes
 * @param crashProbability probability that an engine of the domain crashes
 * @param downMillis time until a crashed engine restarts
 * @param arrivalsMillis time during which streams arrive
 */
public record ForwardingScenario(
        String title,
        int hosts,
        int domains,
        int engines,
        EngineConfig engineConfig,
        double streamsPerSecond,
        int promptTokens,
        int meanEvents,
        double crossDomainDelayMillis,
        long crashIntervalMillis,
        double crashProbability,
        long downMillis,
        long arrivalsMillis) {
    /** Validates the title and the sizes. */
    public ForwardingScenario {
        Arguments.requireText(title, "title");
        Arguments.requirePositive(hosts, "hosts");
        Arguments.requirePositive(engines, "engines");
    }

    /** Returns the small site under higher load: 7 hosts, 13 engines and a domain crash every 6.5 s. */
    public static ForwardingScenario smallSiteWithCrashes() {
        return new ForwardingScenario(
                "13 engines",
                7,
                3,
                13,
                EngineConfig.specifiedEngine(),
                3.7,
                5_000,
                140,
                12,
                6_500,
                0.94,
                1_200,
                120_000);
    }

    /** Returns the small site with fewer arrivals and without crashes. */
    public static ForwardingScenario smallSite() {
        return new ForwardingScenario(
                "calm", 7, 3, 13, EngineConfig.specifiedEngine(), 2.6, 5_000, 140, 12, 0, 0, 0, 120_000);
    }

    /** Returns the small site with about three times the arrivals of {@link #smallSite()}, without crashes. */
    public static ForwardingScenario smallSiteAtPeak() {
        return new ForwardingScenario(
                "peak", 7, 3, 13, EngineConfig.specifiedEngine(), 7.5, 5_000, 140, 12, 0, 0, 0, 120_000);
    }

    /** Returns the site after its growth to 74 hosts and 126 engines of 16 slots, with domain crashes. */
    public static ForwardingScenario largeSiteWithCrashes() {
        EngineConfig engineConfig = new EngineConfig(16, 16, 55_000, 5.61, 0.1, 5, 500, 5);
        return new ForwardingScenario(
                "126 engines", 74, 6, 126, engineConfig, 28, 5_000, 140, 12, 6_500, 0.94, 1_200, 60_000);
    }
}
