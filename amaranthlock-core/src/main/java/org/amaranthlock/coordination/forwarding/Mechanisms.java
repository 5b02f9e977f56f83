package org.amaranthlock.coordination.forwarding;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

/** The forwarding mechanisms that a host uses; immutable. */
public final class Mechanisms {
    /** All mechanisms, which is the default. */
    public static final Mechanisms ALL = new Mechanisms(EnumSet.noneOf(Mechanism.class));

    private final Set<Mechanism> disabled;

    private Mechanisms(Set<Mechanism> disabled) {
        this.disabled = disabled;
    }

    /** Returns all mechanisms except the given ones. */
    public static Mechanisms allExcept(Collection<Mechanism> disabled) {
        EnumSet<Mechanism> copy = EnumSet.noneOf(Mechanism.class);
        copy.addAll(disabled);
        return new Mechanisms(copy);
    }

    /** Returns whether a mechanism is used. */
    public boolean uses(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Mechanisms mechanisms && mechanisms.disabled.equals(disabled);
    }

    @Override
    public int hashCode() {
        return Objects.hash(disabled);
    }

    @Override
    public String toString() {
        return disabled.isEmpty() ? "all" : "all except " + disabled;
    }
}
