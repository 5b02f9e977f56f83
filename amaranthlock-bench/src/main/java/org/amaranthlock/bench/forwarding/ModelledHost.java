package org.amaranthlock.bench.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amaranthlock.bench.sim.VirtualTime;
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
final class ModelledHost {
    /** Time for which changes of the load are collected before they are told; as in the daemon. */
    private static final double NEWS_MILLIS = 5;

    /** Time after which unchanged news are told again. */
    private static final double REPEATED_NEWS_MILLIS = 1_500;

    /** Budget of repeats on the users' sheets. */
    private static final RetryBudgetLimits FLEET_BUDGET = new RetryBudgetLimits(0.8, 150, 10_000);

    private final String name;
    private final FailureDomain domain;
    private final VirtualTime time;
    private final TargetLoadBalancer picker;
    private final CrashHistory crashes = new CrashHistory();
    private final RetryUsage repeatUse = new RetryUsage(FLEET_BUDGET.windowMillis());
    private final FleetRetryBudget budget;
    private final List<ModelledHost> others = new ArrayList<>();
    private boolean newsPending;
    private long newsSent;

    ModelledHost(
            String name,
            FailureDomain domain,
            PlacementPolicy placement,
            LoadSheddingPolicy overload,
            VirtualTime time) {
        this.name = name;
        this.domain = domain;
        this.time = time;
        this.budget = new FleetRetryBudget(FLEET_BUDGET, repeatUse, () -> others.size() + 1);
        this.picker = new TargetLoadBalancer(domain, placement, overload);
    }

    /** Starts to exchange news with the other hosts. */
    void join(List<ModelledHost> hosts) {
        hosts.stream().filter(host -> host != this).forEach(others::add);
        repeatNews();
    }

    FailureDomain domain() {
        return domain;
    }

    TargetLoadBalancer picker() {
        return picker;
    }

    CrashHistory crashes() {
        return crashes;
    }

    FleetRetryBudget budget() {
        return budget;
    }

    long newsSent() {
        return newsSent;
    }

    /** Notes that the load of this host changed. */
    void loadChanged() {
        if (!newsPending) {
            newsPending = true;
            time.afterMillis(NEWS_MILLIS, () -> {
                newsPending = false;
                tell();
            });
        }
    }

    private void repeatNews() {
        time.afterMillis(REPEATED_NEWS_MILLIS, () -> {
            tell();
            repeatNews();
        });
    }

    private void heard(HostLoadReport news) {
        picker.updateRemote(news, time.nowMillis());
        repeatUse.updateRemote(news.host(), news.retries(), time.nowMillis());
    }

    private void tell() {
        HostLoadReport news = picker.loadReport(
                name, service -> true, Map.of(), repeatUse.localRetries(time.nowMillis()), time.nowMillis());
        for (ModelledHost other : others) {
            newsSent++;
            time.afterMillis(ForwardingRun.delayMillis(domain, other.domain), () -> other.heard(news));
        }
    }
}
