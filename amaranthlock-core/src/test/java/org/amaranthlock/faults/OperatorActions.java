package org.amaranthlock.faults;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/** Operators that change the weight of an account. */
final class OperatorActions {
    private static final String KIND = "account";
    private static final String NAME = "shop";

    private OperatorActions() {}

    /** Two operators who saw the same revision change the entry through different routers. */
    static List<Long> writeConcurrently(Cluster cluster) {
        long revision = revision(cluster);
        List<Cluster.RouterNode> nodes = cluster.running();
        return List.of(
                cluster.putConfigurationAsOperator(nodes.getFirst().number(), KIND, NAME, revision, text(3)),
                cluster.putConfigurationAsOperator(nodes.getLast().number(), KIND, NAME, revision, text(4)));
    }

    static long changeWeight(Cluster cluster, int router, int weight) {
        return cluster.putConfigurationAsOperator(router, KIND, NAME, revision(cluster), text(weight));
    }

    static long revision(Cluster cluster) {
        return present(cluster).revision();
    }

    private static VersionedObject present(Cluster cluster) {
        return cluster.simulation
                .platform()
                .object("config/" + KIND + "/" + NAME)
                .orElseThrow();
    }

    /** Returns the weight that the platform holds. */
    static double weight(Cluster cluster) {
        String text =
                ((ConfigurationEntry) present(cluster).value()).version().text().orElseThrow();
        return Double.parseDouble(text.substring(text.lastIndexOf('=') + 1).trim());
    }

    /** Returns the weight that a router has in force. */
    static Optional<Double> weight(Cluster.RouterNode node) {
        return node.core().configuration().account(new AccountId(NAME)).map(account -> account.weight());
    }

    /** Tells whether a router has the newest weight in force. */
    static boolean hasCurrentWeight(Cluster cluster, Cluster.RouterNode node) {
        return weight(node).equals(Optional.of(weight(cluster)));
    }

    private static String text(int weight) {
        return "key-sha256 = \"" + "ab".repeat(32) + "\"\nweight = " + weight + "\n";
    }
}
