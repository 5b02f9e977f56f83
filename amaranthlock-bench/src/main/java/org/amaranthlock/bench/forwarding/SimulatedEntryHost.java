package org.amaranthlock.bench.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amaranthlock.bench.sim.VirtualTimeScheduler;
import org.amaranthlock.coordination.forwarding.CrashHistory;
import org.amaranthlock.coordination.forwarding.FleetRetryBudget;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.coordination.forwarding.LoadSheddingPolicy;
import org.amaranthlock.coordination.forwarding.PlacementPolicy;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.coordination.forwarding.RetryUsage;
import org.amaranthlock.coordination.forwarding.TargetLoadBalancer;
import org.amaranthlock.model.FailureDomain;

/** An entry host with the real decision core, whose news reach the others after a delay. */
final class SimulatedEntryHost {
    /** Time for which changes of the load are collected before they are told; as in the daemon. */
    private static final double REPORT_DELAY_MILLIS = 5;

    /** Time after which unchanged news are told again. */
    private static final double REPORT_REFRESH_MILLIS = 1_500;

    /** Budget of repeats on the users' sheets. */
    private static final RetryBudgetLimits RETRY_BUDGET_LIMITS = new RetryBudgetLimits(0.8, 150, 10_000);

    private final String name;
    private final FailureDomain domain;
    private final VirtualTimeScheduler scheduler;
    private final TargetLoadBalancer loadBalancer;
    private final CrashHistory crashHistory = new CrashHistory();
    private final RetryUsage retryUsage = new RetryUsage(RETRY_BUDGET_LIMITS.windowMillis());
    private final FleetRetryBudget retryBudget;
    private final List<SimulatedEntryHost> peers = new ArrayList<>();
    private boolean reportPending;
    private long loadReportsSent;

    SimulatedEntryHost(
            String name,
            FailureDomain domain,
            PlacementPolicy placement,
            LoadSheddingPolicy overload,
            VirtualTimeScheduler time) {
        this.name = name;
        this.domain = domain;
        this.scheduler = time;
        this.retryBudget = new FleetRetryBudget(RETRY_BUDGET_LIMITS, retryUsage, () -> peers.size() + 1);
        this.loadBalancer = new TargetLoadBalancer(domain, placement, overload);
    }

    /** Starts to exchange news with the other hosts. */
    void join(List<SimulatedEntryHost> hosts) {
        hosts.stream().filter(host -> host != this).forEach(peers::add);
        scheduleReportRefresh();
    }

    FailureDomain domain() {
        return domain;
    }

    TargetLoadBalancer loadBalancer() {
        return loadBalancer;
    }

    CrashHistory crashHistory() {
        return crashHistory;
    }

    FleetRetryBudget retryBudget() {
        return retryBudget;
    }

    long loadReportsSent() {
        return loadReportsSent;
    }

    /** Notes that the load of this host changed. */
    void loadChanged() {
        if (!reportPending) {
            reportPending = true;
            scheduler.scheduleAfterMillis(REPORT_DELAY_MILLIS, () -> {
                reportPending = false;
                sendLoadReport();
            });
        }
    }

    private void scheduleReportRefresh() {
        scheduler.scheduleAfterMillis(REPORT_REFRESH_MILLIS, () -> {
            sendLoadReport();
            scheduleReportRefresh();
        });
    }

    private void receiveLoadReport(HostLoadReport news) {
        loadBalancer.updateRemote(news, scheduler.nowMillis());
        retryUsage.updateRemote(news.host(), news.retries(), scheduler.nowMillis());
    }

    private void sendLoadReport() {
        HostLoadReport news = loadBalancer.loadReport(
                name, service -> true, Map.of(), retryUsage.localRetries(scheduler.nowMillis()), scheduler.nowMillis());
        for (SimulatedEntryHost other : peers) {
            loadReportsSent++;
            scheduler.scheduleAfterMillis(
                    ForwardingSimulation.delayMillis(domain, other.domain), () -> other.receiveLoadReport(news));
        }
    }
}
