package org.amaranthlock.faults;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Configuration of the simulated fleet: engines, and order desks with different capabilities. */
final class SimulatedDeployment {
    static final String DRAFTS = "drafts";
    static final String FENCED = "orders-fenced";
    static final String PLAIN = "orders-plain";
    static final String RECONCILING = "orders-reconciling";
    static final String LOOKUPS = "lookups";
    static final long DEADLINE_MILLIS = 60_000;
    /** Orders are answered within the few seconds that a customer waits. */
    static final long ORDER_MILLIS = 4_000;

    static final int ENGINES = 5;
    static final int DESKS = 3;

    private static final int SLOTS = 8;

    private SimulatedDeployment() {}

    static void configure(Cluster cluster) {
        String rest = "max-attempts = 6\npriority = 5\ndeadline-ms = " + DEADLINE_MILLIS + "\n";
        cluster.putConfiguration("profile", "draft", "kind = \"kept-alive\"\n" + rest);
        cluster.putConfiguration("profile", "order", "kind = \"at-most-once\"\n" + rest);
        cluster.putConfiguration("profile", "lookup", "kind = \"retriable\"\n" + rest);
        service(cluster, DRAFTS, "draft", true);
        service(cluster, FENCED, "order", false);
        service(cluster, PLAIN, "order", false);
        service(cluster, RECONCILING, "order", false);
        service(cluster, LOOKUPS, "lookup", false);
        cluster.putConfiguration("account", "shop", account("ab"));
        cluster.putConfiguration("account", "other", account("cd"));
        targets(cluster, DRAFTS, ENGINES, Set.of(Capability.ATTACH, Capability.RESUME));
        targets(cluster, FENCED, DESKS, Set.of(Capability.FENCING, Capability.RECONCILE));
        targets(cluster, PLAIN, DESKS, Set.of());
        targets(cluster, RECONCILING, DESKS, Set.of(Capability.RECONCILE));
        targets(cluster, LOOKUPS, DESKS, Set.of());
    }

    private static String account(String digits) {
        return "key-sha256 = \"" + digits.repeat(32) + "\"\nweight = 1\n";
    }

    private static void service(Cluster cluster, String name, String profile, boolean generation) {
        cluster.putConfiguration("service", name, "profile = \"" + profile + "\"\ngeneration = " + generation + "\n");
    }

    private static void targets(Cluster cluster, String service, int count, Set<Capability> capabilities) {
        for (int i = 0; i < count; i++) {
            int domain = i % 3;
            boolean engine = service.equals(DRAFTS);
            Target target = new Target(
                    new TargetId(service + "-" + i),
                    new ServiceName(service),
                    "10.1.0." + (i + 1) + ":8000",
                    Cluster.region(domain),
                    Cluster.domain(domain),
                    engine ? "model" : "",
                    engine ? "v1" : "",
                    SLOTS,
                    capabilities);
            cluster.add(target);
            cluster.putConfiguration("target", target.id().value(), text(target));
        }
    }

    private static String text(Target target) {
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
