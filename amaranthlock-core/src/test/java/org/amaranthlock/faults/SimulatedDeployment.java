package org.amaranthlock.faults;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Configuration of the simulated fleet: engines, and targets of call services with different capabilities. */
final class SimulatedDeployment {
    static final String DRAFT_SERVICE = "drafts";
    static final String FENCED_ORDER_SERVICE = "orders-fenced";
    static final String PLAIN_ORDER_SERVICE = "orders-plain";
    static final String RECONCILING_ORDER_SERVICE = "orders-reconciling";
    static final String LOOKUP_SERVICE = "lookups";
    static final long DEADLINE_MILLIS = 60_000;
    /** Shorter than the deadline of other requests, because a customer waits only a few seconds for an order. */
    static final long ORDER_DEADLINE_MILLIS = 4_000;

    static final int ENGINE_COUNT = 5;
    static final int TARGETS_PER_CALL_SERVICE = 3;

    private static final int SLOTS_PER_TARGET = 8;

    private SimulatedDeployment() {}

    static void configure(Cluster cluster) {
        String commonSettings = "max-attempts = 6\npriority = 5\ndeadline-ms = " + DEADLINE_MILLIS + "\n";
        cluster.putConfiguration("profile", "draft", "kind = \"kept-alive\"\n" + commonSettings);
        cluster.putConfiguration("profile", "order", "kind = \"at-most-once\"\n" + commonSettings);
        cluster.putConfiguration("profile", "lookup", "kind = \"retriable\"\n" + commonSettings);
        putService(cluster, DRAFT_SERVICE, "draft", true);
        putService(cluster, FENCED_ORDER_SERVICE, "order", false);
        putService(cluster, PLAIN_ORDER_SERVICE, "order", false);
        putService(cluster, RECONCILING_ORDER_SERVICE, "order", false);
        putService(cluster, LOOKUP_SERVICE, "lookup", false);
        cluster.putConfiguration("account", "shop", accountText("ab"));
        cluster.putConfiguration("account", "other", accountText("cd"));
        addTargets(cluster, DRAFT_SERVICE, ENGINE_COUNT, Set.of(Capability.ATTACH, Capability.RESUME));
        addTargets(
                cluster,
                FENCED_ORDER_SERVICE,
                TARGETS_PER_CALL_SERVICE,
                Set.of(Capability.FENCING, Capability.RECONCILE));
        addTargets(cluster, PLAIN_ORDER_SERVICE, TARGETS_PER_CALL_SERVICE, Set.of());
        addTargets(cluster, RECONCILING_ORDER_SERVICE, TARGETS_PER_CALL_SERVICE, Set.of(Capability.RECONCILE));
        addTargets(cluster, LOOKUP_SERVICE, TARGETS_PER_CALL_SERVICE, Set.of());
    }

    private static String accountText(String digits) {
        return "key-sha256 = \"" + digits.repeat(32) + "\"\nweight = 1\n";
    }

    private static void putService(Cluster cluster, String name, String profile, boolean generation) {
        cluster.putConfiguration("service", name, "profile = \"" + profile + "\"\ngeneration = " + generation + "\n");
    }

    private static void addTargets(Cluster cluster, String service, int count, Set<Capability> capabilities) {
        for (int i = 0; i < count; i++) {
            int domain = i % 3;
            boolean engine = service.equals(DRAFT_SERVICE);
            Target target = new Target(
                    new TargetId(service + "-" + i),
                    new ServiceName(service),
                    "10.1.0." + (i + 1) + ":8000",
                    Cluster.region(domain),
                    Cluster.failureDomain(domain),
                    engine ? "model" : "",
                    engine ? "v1" : "",
                    SLOTS_PER_TARGET,
                    capabilities);
            cluster.addTarget(target);
            cluster.putConfiguration("target", target.id().value(), targetText(target));
        }
    }

    private static String targetText(Target target) {
        String capabilities = target.capabilities().stream()
                .sorted()
                .map(capability -> "\"" + capability.name().toLowerCase(Locale.ROOT) + "\"")
                .collect(Collectors.joining(", "));
        String model = target.model().isEmpty() ? "" : "model = \"model\"\nversion = \"v1\"\n";
        return "service = \"" + target.service() + "\"\naddress = \"" + target.address() + "\"\nregion = \""
                + target.region() + "\"\nfailure-domain = \"" + target.failureDomain() + "\"\nslots = " + target.slots()
                + "\ncapabilities = [" + capabilities + "]\n" + model;
    }
}
