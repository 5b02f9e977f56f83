package org.amaranthlock.faults;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/** Configuration changes by operators, who set the weight of a client account. */
final class OperatorActions {
    private static final String KIND = "account";
    private static final String NAME = "shop";

    private OperatorActions() {}

    /** Lets two operators who read the same revision change the entry through different routers at the same time. */
    static List<Long> writeConcurrently(Cluster cluster) {
        long revision = revision(cluster);
        List<Cluster.RouterNode> nodes = cluster.runningNodes();
        return List.of(
                cluster.putConfigurationAsOperator(nodes.getFirst().number(), KIND, NAME, revision, entryText(3)),
                cluster.putConfigurationAsOperator(nodes.getLast().number(), KIND, NAME, revision, entryText(4)));
    }

    static long changeWeight(Cluster cluster, int router, int weight) {
        return cluster.putConfigurationAsOperator(router, KIND, NAME, revision(cluster), entryText(weight));
    }

    static long revision(Cluster cluster) {
        return currentEntry(cluster).revision();
    }

    private static VersionedObject currentEntry(Cluster cluster) {
        return cluster.simulation
                .platform()
                .object("config/" + KIND + "/" + NAME)
                .orElseThrow();
    }

    /** Returns the weight that the platform has stored. */
    static double weight(Cluster cluster) {
        String text = ((ConfigurationEntry) currentEntry(cluster).value())
                .version()
                .text()
                .orElseThrow();
        return Double.parseDouble(text.substring(text.lastIndexOf('=') + 1).trim());
    }

    /** Returns the weight that a router currently applies. */
    static Optional<Double> weight(Cluster.RouterNode node) {
        return node.core().configuration().account(new AccountId(NAME)).map(account -> account.weight());
    }

    /** Returns whether a router applies the weight that the platform has stored. */
    static boolean hasCurrentWeight(Cluster cluster, Cluster.RouterNode node) {
        return weight(node).equals(Optional.of(weight(cluster)));
    }

    private static String entryText(int weight) {
        return "key-sha256 = \"" + "ab".repeat(32) + "\"\nweight = " + weight + "\n";
    }
}
