/** Prometheus metrics of the entry daemon. */
package org.amaranthlock.entry.metrics;
