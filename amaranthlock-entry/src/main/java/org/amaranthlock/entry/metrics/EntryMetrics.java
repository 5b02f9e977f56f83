package org.amaranthlock.entry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.amaranthlock.model.AccountId;

/** Prometheus metrics of one process. */
public final class EntryMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("amaranthlock_requests_total")
            .help("Requests by how they ended.")
            .labelNames("outcome", "cause")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("amaranthlock_attempts_total")
            .help("Steps of attempts at targets.")
            .labelNames("step", "cause")
            .register(registry);
    private final Histogram duration = Histogram.builder()
            .name("amaranthlock_request_seconds")
            .help("Time from the arrival of a request to its final answer.")
            .labelNames("outcome")
            .classicOnly()
            .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
            .register(registry);
    private final Counter storeCalls = Counter.builder()
            .name("amaranthlock_store_calls_total")
            .help("Calls to the platform's store by kind and result.")
            .labelNames("kind", "result")
            .register(registry);
    private final Counter targetConnections = Counter.builder()
            .name("amaranthlock_target_connections_total")
            .help("New connections to targets by purpose.")
            .labelNames("purpose")
            .register(registry);
    private final Counter permitQueries = Counter.builder()
            .name("amaranthlock_permit_queries_total")
            .help("Queries to other hosts for permits to send to limited targets, by result.")
            .labelNames("result")
            .register(registry);
    private final Counter reservations = Counter.builder()
            .name("amaranthlock_placement_reservations_total")
            .help("Requests of this host for reservations of engines, by result.")
            .labelNames("result")
            .register(registry);
    private final Counter reservationsGranted = Counter.builder()
            .name("amaranthlock_placement_reservations_granted_total")
            .help("Reservations that this host has granted to others.")
            .register(registry);
    private final Gauge reservationsOutstanding = Gauge.builder()
            .name("amaranthlock_placement_reservations_outstanding")
            .help("Reservations granted by this host that no load report contains yet.")
            .register(registry);
    private final Histogram reservationDuration = Histogram.builder()
            .name("amaranthlock_placement_reservation_seconds")
            .help("Time from a request for a reservation to its end.")
            .labelNames("result")
            .classicOnly()
            .classicUpperBounds(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1)
            .register(registry);
    private final Histogram eventLoopLateness = Histogram.builder()
            .name("amaranthlock_event_loop_late_seconds")
            .help("How late the tasks of a thread run, by thread.")
            .labelNames("loop")
            .classicOnly()
            .classicUpperBounds(0.005, 0.02, 0.1, 0.25, 0.5, 1)
            .register(registry);
    private final Gauge unsentPeerBytes = Gauge.builder()
            .name("amaranthlock_peer_unsent_bytes")
            .help("Bytes for other hosts that the operating system has not taken.")
            .register(registry);
    private final Counter relays = Counter.builder()
            .name("amaranthlock_relays_total")
            .help("Requests passed to other hosts, by result.")
            .labelNames("result")
            .register(registry);
    private final Counter limitChanges = Counter.builder()
            .name("amaranthlock_target_limit_changes_total")
            .help("Changes of the request rate limits that targets name, by change.")
            .labelNames("change")
            .register(registry);
    private final Counter promptPartChanges = Counter.builder()
            .name("amaranthlock_prompt_part_changes_total")
            .help("Changes of what this host believes of prompt parts, by change.")
            .labelNames("change")
            .register(registry);
    private final Counter availabilityChanges = Counter.builder()
            .name("amaranthlock_target_availability_changes_total")
            .help("Responses in which targets ask for a rest or say that they leave, by kind.")
            .labelNames("change")
            .register(registry);
    private final Counter peerMessages = Counter.builder()
            .name("amaranthlock_peer_messages_total")
            .help("Messages between hosts by direction and type.")
            .labelNames("direction", "type")
            .register(registry);
    private final Counter peerBytes = Counter.builder()
            .name("amaranthlock_peer_bytes_total")
            .help("Bytes of messages between hosts, without framing, by direction and type.")
            .labelNames("direction", "type")
            .register(registry);
    private final Counter rolloutDecisions = Counter.builder()
            .name("amaranthlock_rollout_decisions_total")
            .help("Decisions on orders of roll-outs, by decision.")
            .labelNames("decision")
            .register(registry);
    private final Gauge rolloutStep = Gauge.builder()
            .name("amaranthlock_rollout_step")
            .help(
                    "Step of a roll-out at its controller: 0 judging, 1 quarter, 2 half, 3 all, 4 completed, 5 rolled back.")
            .labelNames("service")
            .register(registry);
    private final Gauge rolloutRequests = Gauge.builder()
            .name("amaranthlock_rollout_requests")
            .help("Requests of a service since the order of its roll-out, at its controller, by version.")
            .labelNames("service", "version")
            .register(registry);
    private final Gauge waiting = Gauge.builder()
            .name("amaranthlock_waiting_requests")
            .help("Requests that wait at this host for room in the engines, by service, priority and account.")
            .labelNames("service", "priority", "account")
            .register(registry);
    private final Counter turnedAway = Counter.builder()
            .name("amaranthlock_turned_away_total")
            .help("Requests that this host turned away instead of letting them wait, by service and reason.")
            .labelNames("service", "reason")
            .register(registry);
    private final Gauge turnedAwayStartsIn = Gauge.builder()
            .name("amaranthlock_turned_away_starts_in_seconds")
            .help("Time after which the request that was turned away last would have been sent.")
            .labelNames("service")
            .register(registry);
    private final Gauge turnedAwayQueueLength = Gauge.builder()
            .name("amaranthlock_turned_away_queue_length")
            .help("Requests that waited here when one was turned away last.")
            .labelNames("service")
            .register(registry);
    private final Gauge turnedAwayShare = Gauge.builder()
            .name("amaranthlock_turned_away_share")
            .help("Share of this host in the engines' room when a request was turned away last, from 0 to 1.")
            .labelNames("service")
            .register(registry);
    private final Counter regionBytes = Counter.builder()
            .name("amaranthlock_region_link_bytes_total")
            .help("Bytes exchanged with another region, by use; frames between hosts at their sender only.")
            .labelNames("region", "use")
            .register(registry);
    private final Counter regionDecisions = Counter.builder()
            .name("amaranthlock_region_link_decisions_total")
            .help("Attempts placed in another region, and KV cache copies left out for want of bandwidth.")
            .labelNames("region", "decision")
            .register(registry);
    private final Gauge turnedAwayAccountShare = Gauge.builder()
            .name("amaranthlock_turned_away_account_share")
            .help("Share of the account whose request was turned away last in the work that all hosts started lately.")
            .labelNames("service")
            .register(registry);
    private final Gauge share = Gauge.builder()
            .name("amaranthlock_room_share")
            .help("Share of this host in the engines' room, from 0 to 1; 0 if no request waits here.")
            .labelNames("service")
            .register(registry);
    private final Gauge accountShare = Gauge.builder()
            .name("amaranthlock_room_account_share")
            .help("Share of an account in the work that all hosts started lately, from 0 to 1.")
            .labelNames("service", "account")
            .register(registry);
    private final Set<ServiceAccount> accountsWithShare = new HashSet<>();
    private final Gauge configurationVersion = Gauge.builder()
            .name("amaranthlock_configuration_version")
            .help("Version of the configuration in force.")
            .register(registry);

    private final Counter placements = Counter.builder()
            .name("amaranthlock_placements_total")
            .help("Choices of targets by reason.")
            .labelNames("reason")
            .register(registry);
    private final Gauge targetSlowness = Gauge.builder()
            .name("amaranthlock_target_slowness")
            .help("Learned time of the slowest and of the fastest target for a request, as a multiple of its peers'.")
            .labelNames("target")
            .register(registry);

    /** Records the outcome and duration of a request. */
    public void recordRequest(String outcome, String cause, long elapsedMillis) {
        requests.labelValues(outcome, cause).inc();
        duration.labelValues(outcome).observe(elapsedMillis / 1_000.0);
    }

    /** Counts a step of an attempt. */
    public void recordAttempt(String step, String cause) {
        attempts.labelValues(step, cause).inc();
    }

    /** Counts a call to the store. */
    public void recordStoreCall(String kind, String result) {
        storeCalls.labelValues(kind, result).inc();
    }

    /** Counts a new connection to a target. */
    public void recordTargetConnection(String purpose) {
        targetConnections.labelValues(purpose).inc();
    }

    /** Counts a query to another host for a permit. */
    public void recordPermitQuery(String result) {
        permitQueries.labelValues(result).inc();
    }

    /** Counts a request of this host for a reservation, which took {@code seconds}. */
    public void recordReservation(String result, double seconds) {
        reservations.labelValues(result).inc();
        reservationDuration.labelValues(result).observe(seconds);
    }

    /** Counts a reservation granted to another host, which makes {@code outstanding} of them. */
    public void recordReservationGranted(int outstanding) {
        reservationsGranted.inc();
        reservationsOutstanding.set(outstanding);
    }

    /** Counts a request that was passed to another host. */
    public void recordRelay(String result) {
        relays.labelValues(result).inc();
    }

    /** Counts a change of a target's request rate limit. */
    public void recordLimitChange(String change) {
        limitChanges.labelValues(change).inc();
    }

    /** Counts a change of what this host believes of a prompt part. */
    public void recordPromptPartChange(String change) {
        promptPartChanges.labelValues(change).inc();
    }

    /** Counts a statement of a target about its availability. */
    public void recordAvailabilityChange(String change) {
        availabilityChanges.labelValues(change).inc();
    }

    /** Counts a decision on the order of a roll-out. */
    public void recordRolloutDecision(String decision) {
        rolloutDecisions.labelValues(decision).inc();
    }

    /** Updates what the controller of a roll-out knows. */
    public void updateRollout(String service, int step, long requests, long requestsToNew) {
        rolloutStep.labelValues(service).set(step);
        rolloutRequests.labelValues(service, "all").set(requests);
        rolloutRequests.labelValues(service, "new").set(requestsToNew);
    }

    /** Account that has a share of the work which all hosts started lately for a service. */
    private record ServiceAccount(String service, AccountId account) {}

    /** Adds to the number of requests that wait. */
    public void recordWaiting(String service, String rank, String account, int added) {
        waiting.labelValues(service, rank, account).inc(added);
        if (waiting.labelValues(service, rank, account).get() == 0) {
            waiting.remove(service, rank, account);
        }
    }

    /** Updates the shares of this host and of the client accounts; other accounts have none. */
    public void updateShares(String service, double hostShare, Map<AccountId, Double> accountShares) {
        share.labelValues(service).set(hostShare);
        accountsWithShare.removeIf(known -> {
            boolean gone = known.service().equals(service) && !accountShares.containsKey(known.account());
            if (gone) {
                accountShare.remove(service, known.account().value());
            }
            return gone;
        });
        accountShares.forEach((account, part) -> {
            accountsWithShare.add(new ServiceAccount(service, account));
            accountShare.labelValues(service, account.value()).set(part);
        });
    }

    /** Counts a request that was turned away. */
    public void recordTurnedAway(
            String service,
            String reason,
            double startsInSeconds,
            int queueLength,
            double hostShare,
            double accountShareOfAll) {
        turnedAway.labelValues(service, reason).inc();
        turnedAwayStartsIn.labelValues(service).set(startsInSeconds);
        turnedAwayQueueLength.labelValues(service).set(queueLength);
        turnedAwayShare.labelValues(service).set(hostShare);
        turnedAwayAccountShare.labelValues(service).set(accountShareOfAll);
    }

    /** Counts a message from or to another host. */
    public void recordPeerMessage(String direction, String type, int bytes) {
        peerMessages.labelValues(direction, type).inc();
        peerBytes.labelValues(direction, type).inc(bytes);
    }

    /** Updates the bytes for other hosts that the operating system has not taken. */
    public void updateUnsentPeerBytes(long bytes) {
        unsentPeerBytes.set(bytes);
    }

    /** Records how late a task of a thread ran. */
    public void recordEventLoopLateness(String loop, long lateMillis) {
        eventLoopLateness.labelValues(loop).observe(lateMillis / 1_000.0);
    }

    /** Counts a choice of a target. */
    public void recordPlacement(String reason) {
        placements.labelValues(reason).inc();
    }

    /** Updates the learned times of the slowest and the fastest target. */
    public void updateTargetSlowness(double slowest, double fastest) {
        targetSlowness.labelValues("slowest").set(slowest);
        targetSlowness.labelValues("fastest").set(fastest);
    }

    /** Adds bytes exchanged with another region. */
    public void recordRegionBytes(String region, String use, long bytes) {
        regionBytes.labelValues(region, use).inc(bytes);
    }

    /** Counts a decision on a link between regions. */
    public void recordRegionDecision(String region, String decision) {
        regionDecisions.labelValues(region, decision).inc();
    }

    /** Updates the version of the configuration in force. */
    public void updateConfigurationVersion(long version) {
        configurationVersion.set(version);
    }

    /** Returns all metrics in Prometheus text format. */
    public byte[] scrape() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
