/** Routing and admission policies that the benchmark compares. */
package org.amaranthlock.bench.policy;
