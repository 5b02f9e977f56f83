package org.amaranthlock.bench.forwarding;

import org.amaranthlock.model.Arguments;
import org.amaranthlock.standin.fleet.EngineShape;

/**
 * Streams and failures of a day, with figures like those on the users' sheets.
 *
 * @param title name in tables
 * @param hosts entry hosts
 * @param domains failure domains; hosts and engines are spread over them
 * @param engines engines
 * @param shape size and speed of an engine
 * @param streamsPerSecond arrivals at all hosts together
 * @param promptTokens tokens of a stream's own prompt
 * @param meanEvents mean number of events of a stream
 * @param crossDomainDelayMillis one way between failure domains, in milliseconds
 * @param crashIntervalMillis time between two deaths of a failure domain; 0 for none
 * @param crashShare part of the domain's engines that die
 * @param downMillis time for which they are down
 * @param arrivalsMillis length of the arrivals
 */
public record ForwardingScenario(
        String title,
        int hosts,
        int domains,
        int engines,
        EngineShape shape,
        double streamsPerSecond,
        int promptTokens,
        int meanEvents,
        double crossDomainDelayMillis,
        long crashIntervalMillis,
        double crashShare,
        long downMillis,
        long arrivalsMillis) {
    /** Checks the sizes. */
    public ForwardingScenario {
        Arguments.requireText(title, "title");
        Arguments.requirePositive(hosts, "hosts");
        Arguments.requirePositive(engines, "engines");
    }

    /** Returns the streams of a busy day of the smaller site: 7 hosts, 13 engines, a domain dies every 6.5 s. */
    public static ForwardingScenario smallSiteWithCrashes() {
        return new ForwardingScenario(
                "13 engines", 7, 3, 13, EngineShape.usersSheet(), 3.7, 5_000, 140, 12, 6_500, 0.94, 1_200, 120_000);
    }

    /** Returns the same without deaths. */
    public static ForwardingScenario smallSite() {
        return new ForwardingScenario(
                "calm", 7, 3, 13, EngineShape.usersSheet(), 2.6, 5_000, 140, 12, 0, 0, 0, 120_000);
    }

    /** Returns three times the arrivals of the smaller site, without deaths. */
    public static ForwardingScenario smallSiteAtPeak() {
        return new ForwardingScenario(
                "peak", 7, 3, 13, EngineShape.usersSheet(), 7.5, 5_000, 140, 12, 0, 0, 0, 120_000);
    }

    /** Returns the streams of the smaller site once it has grown: 74 hosts, 126 engines of 16 slots. */
    public static ForwardingScenario largeSiteWithCrashes() {
        EngineShape shape = new EngineShape(16, 16, 55_000, 5.61, 0.1, 5, 500, 5);
        return new ForwardingScenario("126 engines", 74, 6, 126, shape, 28, 5_000, 140, 12, 6_500, 0.94, 1_200, 60_000);
    }
}
