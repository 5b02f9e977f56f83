/** Benchmark that compares routing and admission policies under load and faults, simulated in virtual time. */
package org.amaranthlock.bench;
