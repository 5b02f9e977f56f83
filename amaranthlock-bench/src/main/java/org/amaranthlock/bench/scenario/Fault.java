package org.amaranthlock.bench.scenario;

/** Fault injected into a simulation. */
public sealed interface Fault {
    /** No fault. */
    record None() implements Fault {}

    /** The first {@code count} engines run slower by {@code factor} from the given time on. */
    record SlowEngines(int count, double factor, long atMillis) implements Fault {}

    /** One engine crashes. */
    record EngineCrash(long atMillis) implements Fault {}

    /** All engines of a failure domain crash. */
    record DomainCrash(long atMillis) implements Fault {}
}
