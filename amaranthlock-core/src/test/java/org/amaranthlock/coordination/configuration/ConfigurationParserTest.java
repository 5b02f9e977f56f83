package org.amaranthlock.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.OptionalDouble;
import java.util.Set;
import org.amaranthlock.coordination.configuration.ParsedEntry.AccountValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.ProfileValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.TargetValue;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.junit.jupiter.api.Test;

class ConfigurationParserTest {
    static final String PROFILE = "kind = \"at-most-once\"\nmax-attempts = 3\npriority = 5\ndeadline-ms = 20000\n";
    static final String SERVICE = "profile = \"orders\"\ngeneration = false\n";

    /** Guards against entry formats that differ from the documentation. */
    @Test
    void readsAllKindsOfEntries() {
        String account = "key-sha256 = \"" + "ab".repeat(32) + "\"\nweight = 2\ntokens-per-second = 1500.5\n";
        String target = "service = \"desk\"\naddress = \"10.1.2.3:8000\"\nregion = \"r\"\nfailure-domain = \"d\"\n"
                + "slots = 8\ncapabilities = [\"attach\", \"fencing\"]\n";

        assertThat(ConfigurationParser.parse("profile", "orders", PROFILE))
                .isEqualTo(new ProfileValue(new Profile("orders", ProfileKind.AT_MOST_ONCE, 3, 5, 20_000)));
        AccountValue parsedAccount = (AccountValue) ConfigurationParser.parse("account", "shop", account);
        assertThat(parsedAccount.account().tokensPerSecond()).isEqualTo(OptionalDouble.of(1500.5));
        TargetValue parsedTarget = (TargetValue) ConfigurationParser.parse("target", "t1", target);
        assertThat(parsedTarget.target().capabilities()).isEqualTo(Set.of(Capability.ATTACH, Capability.FENCING));
        assertThat(parsedTarget.target().model()).isEmpty();
    }

    /** Guards against reporting only the first error, so that an operator has to retry a change once per error. */
    @Test
    void reportsAllErrorsOfAnEntryWithKeyAndRemedy() {
        String text = "kind = \"forever\"\nmax-attempts = 0\ndeadline-ms = \"soon\"\nretries = 3\n";

        AmaranthlockException failure =
                assertThrows(AmaranthlockException.class, () -> ConfigurationParser.parse("profile", "p", text));

        for (String key : new String[] {"'kind'", "'max-attempts'", "'priority'", "'deadline-ms'", "'retries'"}) {
            assertThat(failure).hasMessageThat().contains(key);
        }
        assertThat(failure).hasMessageThat().contains("[kept-alive, at-most-once, retriable]");
    }

    /** Guards against names that escape the object key of their entry, and against syntax errors without a position. */
    @Test
    void rejectsUnknownKindsInvalidNamesAndMalformedToml() {
        assertThrows(AmaranthlockException.class, () -> ConfigurationParser.parse("lease", "x", ""));
        assertThrows(AmaranthlockException.class, () -> ConfigurationParser.parse("profile", "a/b", PROFILE));
        AmaranthlockException failure =
                assertThrows(AmaranthlockException.class, () -> ConfigurationParser.parse("profile", "p", "kind = \n"));
        assertThat(failure).hasMessageThat().contains("line 1");
    }
}
