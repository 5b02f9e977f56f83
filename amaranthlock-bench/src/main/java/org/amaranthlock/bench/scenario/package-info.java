/** Workloads, faults and measures of the bench. */
package org.amaranthlock.bench.scenario;
