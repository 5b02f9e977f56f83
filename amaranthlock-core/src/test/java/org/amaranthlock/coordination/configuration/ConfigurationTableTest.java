package org.amaranthlock.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.junit.jupiter.api.Test;

/** Guards against recomputing the subset of targets, which is expensive, after changes that do not affect targets. */
class ConfigurationTableTest {
    @Test
    void targetListIsReplacedOnlyWhenATargetChanges() {
        ConfigurationTable table = new ConfigurationTable();
        table.apply(entry(1, "target", "t1", target(8)));
        List<Target> first = table.targets();

        table.apply(entry(2, "account", "a1", "key-sha256 = \"" + "0".repeat(64) + "\"\nweight = 2\n"));
        assertThat(table.targets()).isSameInstanceAs(first);
        assertThat(table.accounts()).hasSize(1);

        table.apply(entry(3, "target", "t1", target(16)));
        assertThat(table.targets().getFirst().slots()).isEqualTo(16);
        assertThat(first.getFirst().slots()).isEqualTo(8);
    }

    private static String target(int slots) {
        return "service = \"s\"\naddress = \"10.0.0.1:8000\"\nregion = \"r\"\nfailure-domain = \"d\"\nslots = " + slots
                + "\n";
    }

    private static ConfigurationEntry entry(long revision, String kind, String name, String text) {
        return new ConfigurationEntry(
                kind,
                name,
                new ConfigurationVersion(revision, Optional.of(text), "operator", "change-" + revision, 1),
                List.of());
    }
}
