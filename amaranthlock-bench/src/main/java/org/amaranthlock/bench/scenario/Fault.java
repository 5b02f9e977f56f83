package org.amaranthlock.bench.scenario;

/** What goes wrong during a run. */
public sealed interface Fault {
    /** Nothing goes wrong. */
    record None() implements Fault {}

    /** The first engines run {@code factor} times slower from a time on. */
    record SlowEngines(int count, double factor, long atMillis) implements Fault {}

    /** One engine dies. */
    record EngineCrash(long atMillis) implements Fault {}

    /** All engines of a failure domain die. */
    record DomainCrash(long atMillis) implements Fault {}
}
