package org.amaranthlock.bench.scenario;

/** Fault injected into a simulation. */
public sealed interface SimulatedFault {
    /** No fault. */
    record None() implements SimulatedFault {}

    /** The first {@code count} engines run slower by {@code factor} from the given time on. */
    record SlowEngines(int count, double factor, long atMillis) implements SimulatedFault {}

    /** One engine crashes. */
    record EngineCrash(long atMillis) implements SimulatedFault {}

    /** All engines of a failure domain crash. */
    record DomainCrash(long atMillis) implements SimulatedFault {}
}
