package org.amaranthlock.coordination.forwarding;

import java.util.Arrays;
import java.util.Optional;

/** Mechanism of the forwarding decisions that a setting can switch off, to measure what it is worth. */
public enum Mechanism {
    /** A stream's engine backs up its KV cache to an engine in another failure domain. */
    KV_CACHE_BACKUP("kv-cache-backup"),

    /** A backup whose engine is lost is replaced by a copy on another one. */
    BACKUP_REPLACEMENT("backup-replacement"),

    /** A stream that a client resumes goes to the engine that still holds its prompt. */
    PROMPT_LOCATION("prompt-location"),

    /** An attempt whose response was lost is retried once on the same engine. */
    SAME_ENGINE_RETRY("same-engine-retry"),

    /** Requests that would only wait are rejected while all engines are overloaded. */
    LOAD_SHEDDING("load-shedding"),

    /** A stream whose prompt cannot be prefilled before the client's deadline is rejected at once. */
    DEADLINE_REJECTION("deadline-rejection"),

    /** Placement considers the load that the other hosts have reported. */
    SHARED_LOAD("shared-load"),

    /** Targets of a failure domain in which others failed recently are avoided. */
    DOMAIN_SUSPICION("domain-suspicion"),

    /** A silent engine is asked for a report, which shows whether its response is lost. */
    ENGINE_REPORTS("engine-reports"),

    /** An attempt that makes no progress is abandoned if another target could start. */
    ABANDONING("abandoning"),

    /** The entry of a target at whose address another one runs is ignored. */
    ADDRESS_SUCCESSION("address-succession"),

    /** A host without a path to the targets of a service has requests served by another host. */
    RELAY("relay"),

    /** Requests with a part of their prompts under which a target crashed are sent one at a time, then rejected. */
    PROMPT_PART_TRIALS("prompt-part-trials"),

    /** In a large fleet, load reports reach the other hosts through a few hosts of each failure domain. */
    REPORT_RELAYS("report-relays"),

    /** Placement allows for streams that other hosts have placed and not reported yet. */
    UNSEEN_PLACEMENTS("unseen-placements"),

    /**
     * Placement minimizes the expected delay from observed speeds, and hosts that choose simultaneously choose
     * different targets.
     */
    EVEN_LOAD("even-load"),

    /** A host that starts receives from other hosts the state that it would otherwise read from the store. */
    START_FROM_PEERS("start-from-peers"),

    /** Requests move in steps to a new version of a service that an operator orders, and the version is judged. */
    ROLLOUTS("rollouts"),

    /** Streams of a service whose requests differ in urgency wait at their host until an engine has room. */
    HOST_QUEUE("host-queue"),

    /** Client accounts get equal shares of the room for which streams wait. */
    ACCOUNT_SHARES("account-shares"),

    /** Placement and copies consider the links between regions. */
    REGION_LINKS("region-links"),

    /** Before a stream is placed, the host that keeps the reservations of the engines is asked for one. */
    PLACEMENT_RESERVATIONS("placement-reservations");

    private final String key;

    Mechanism(String key) {
        this.key = key;
    }

    /** Returns the name of the mechanism in the settings. */
    public String key() {
        return key;
    }

    /** Returns the mechanism with the given name. */
    public static Optional<Mechanism> ofKey(String key) {
        return Arrays.stream(values())
                .filter(mechanism -> mechanism.key.equals(key))
                .findFirst();
    }
}
