package org.amaranthlock.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;

/** Generates the configuration entries of a measured fleet. */
final class FleetConfiguration {
    static final int SERVICES = 4;
    static final int DOMAINS = 7;
    static final int REGIONS = 3;

    /** Enough for the request rate and generation length of the design size: 157,000 open streams on 6,200 targets. */
    private static final int SLOTS_PER_TARGET = 64;

    private FleetConfiguration() {}

    /** Writes the profiles, services, targets and accounts of a fleet. */
    static void writeEntries(FleetSize size, InMemoryObjectStore store) {
        put(store, "profile", "kept", profileEntry("kept-alive"));
        put(store, "profile", "once", profileEntry("at-most-once"));
        for (int i = 0; i < SERVICES; i++) {
            put(store, "service", serviceName(i), "profile = \"kept\"\ngeneration = true\n");
        }
        for (int i = 0; i < size.targets(); i++) {
            put(store, "target", "target-" + i, targetEntry(i));
        }
        for (int i = 0; i < size.accounts(); i++) {
            put(store, "account", "account-" + i, accountEntry(i, 1));
        }
    }

    static String serviceName(int number) {
        return "service-" + number % SERVICES;
    }

    static String domainName(int number) {
        return "domain-" + number % DOMAINS;
    }

    /** Returns the region of the failure domain of the given number, so that each domain lies in one region. */
    static String regionName(int number) {
        return "region-" + number % DOMAINS % REGIONS;
    }

    static String accountEntry(int number, int weight) {
        return String.format(
                Locale.ROOT, "key-sha256 = \"%064x\"%nweight = %d%ntokens-per-second = 1000000%n", number + 1, weight);
    }

    private static String profileEntry(String kind) {
        return "kind = \"" + kind + "\"\nmax-attempts = 3\npriority = 5\ndeadline-ms = 600000\n";
    }

    private static String targetEntry(int number) {
        return String.format(
                Locale.ROOT,
                "service = \"%s\"%naddress = \"10.1.%d.%d:8000\"%nregion = \"%s\"%nfailure-domain = \"%s\"%n"
                        + "model = \"model-%d\"%nversion = \"v1\"%nslots = %d%ncapabilities = [\"attach\"]%n",
                serviceName(number),
                number / 250,
                number % 250,
                regionName(number),
                domainName(number),
                number % SERVICES,
                SLOTS_PER_TARGET);
    }

    private static void put(InMemoryObjectStore store, String kind, String name, String text) {
        ConfigurationVersion version =
                new ConfigurationVersion(store.nextRevision(), Optional.of(text), "operator", "first-" + name, 1);
        ConfigurationEntry entry = new ConfigurationEntry(kind, name, version, List.of());
        store.put(entry.objectKey(), entry);
    }
}
