/** Counters and histograms of the entry daemon. */
package org.amaranthlock.entry.metrics;
