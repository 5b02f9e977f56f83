/** Workloads, faults, simulations and measures of the benchmark. */
package org.amaranthlock.bench.scenario;
