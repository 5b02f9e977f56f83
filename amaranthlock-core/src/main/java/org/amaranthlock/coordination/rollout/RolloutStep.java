package org.amaranthlock.coordination.rollout;

import java.util.Arrays;
import java.util.Optional;

/** Step of a roll-out. */
public enum RolloutStep {
    /** A small share of the requests goes to the new version. */
    JUDGING("judging"),

    /** A quarter of the requests goes to the new version. */
    QUARTER("quarter"),

    /** Half of the requests goes to the new version. */
    HALF("half"),

    /** All new requests go to the new version; requests at the old version drain. */
    ALL("all"),

    /** All requests go to the new version; final. */
    COMPLETED("completed"),

    /** All requests go to the old version; final. */
    ROLLED_BACK("rolled_back");

    private final String key;

    RolloutStep(String key) {
        this.key = key;
    }

    /** Returns the name of the step in stored data and logs. */
    public String key() {
        return key;
    }

    /** Returns whether no other step follows. */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK;
    }

    /**
     * Returns the share of the requests that go to the new version.
     *
     * @param judgingShare share during {@link #JUDGING}
     */
    public double share(double judgingShare) {
        return switch (this) {
            case JUDGING -> judgingShare;
            case QUARTER -> Math.max(0.25, judgingShare);
            case HALF -> Math.max(0.5, judgingShare);
            case ALL, COMPLETED -> 1;
            case ROLLED_BACK -> 0;
        };
    }

    /** Returns the step with the given name. */
    public static Optional<RolloutStep> ofKey(String key) {
        return Arrays.stream(values()).filter(step -> step.key.equals(key)).findFirst();
    }
}
