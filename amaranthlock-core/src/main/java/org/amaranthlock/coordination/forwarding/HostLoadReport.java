package org.amaranthlock.coordination.forwarding;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.amaranthlock.coordination.brittle.BrittleReport;
import org.amaranthlock.coordination.contention.WaitingWork;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.region.RegionReport;
import org.amaranthlock.coordination.targetlimit.LimitReport;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.TargetId;

/**
 * Load and failures of targets as observed by one host itself, reported to the other hosts.
 *
 * @param host name of the host
 * @param inFlight its load in flight by engine; engines without any are omitted
 * @param unreachable engines that it recently failed to reach
 * @param crashes number of consecutive target crashes by fingerprint of the request
 * @param retries number of its retries within the window of the fleet's retry budget that used the slack
 * @param cutServices services to whose targets it has no path
 * @param brittle what it knows of targets that fail when they reject too many requests
 * @param limits request rate limits of targets that it knows
 * @param speeds observed speeds of targets that differ from their peers
 * @param waiting backlogs that wait at the host for room of the engines
 * @param region its demand and its traffic with the other regions
 */
public record HostLoadReport(
        String host,
        Map<TargetId, InFlightLoad> inFlight,
        Set<TargetId> unreachable,
        Map<Long, Integer> crashes,
        int retries,
        Set<ServiceName> cutServices,
        BrittleReport brittle,
        LimitReport limits,
        Map<TargetId, TargetSpeed> speeds,
        WaitingWork waiting,
        RegionReport region) {
    public HostLoadReport {
        Arguments.requireText(host, "host");
        inFlight = Map.copyOf(inFlight);
        unreachable = Set.copyOf(unreachable);
        crashes = Map.copyOf(crashes);
        cutServices = Set.copyOf(cutServices);
        Objects.requireNonNull(brittle, "brittle");
        Objects.requireNonNull(limits, "limits");
        speeds = Map.copyOf(speeds);
        Objects.requireNonNull(waiting, "waiting work");
        Objects.requireNonNull(region, "region");
    }

    /** Creates a report without backlogs, speeds of targets and traffic between regions. */
    public HostLoadReport(
            String host,
            Map<TargetId, InFlightLoad> inFlight,
            Set<TargetId> unreachable,
            Map<Long, Integer> crashes,
            int retries,
            Set<ServiceName> cutServices,
            BrittleReport brittle,
            LimitReport limits) {
        this(
                host,
                inFlight,
                unreachable,
                crashes,
                retries,
                cutServices,
                brittle,
                limits,
                Map.of(),
                WaitingWork.NONE,
                RegionReport.NONE);
    }

    /** Returns this report with the given speeds. */
    public HostLoadReport withSpeeds(Map<TargetId, TargetSpeed> newSpeeds) {
        return new HostLoadReport(
                host,
                inFlight,
                unreachable,
                crashes,
                retries,
                cutServices,
                brittle,
                limits,
                newSpeeds,
                waiting,
                region);
    }

    /** Returns the report of a host that has observed nothing yet. */
    public static HostLoadReport empty(String host) {
        return new HostLoadReport(
                host, Map.of(), Set.of(), Map.of(), 0, Set.of(), BrittleReport.EMPTY, LimitReport.EMPTY);
    }

    /** Returns this report with the given backlogs. */
    public HostLoadReport withWaiting(WaitingWork work) {
        return new HostLoadReport(
                host, inFlight, unreachable, crashes, retries, cutServices, brittle, limits, speeds, work, region);
    }

    /** Returns this report with the given demand and traffic. */
    public HostLoadReport withRegion(RegionReport report) {
        return new HostLoadReport(
                host, inFlight, unreachable, crashes, retries, cutServices, brittle, limits, speeds, waiting, report);
    }
}
