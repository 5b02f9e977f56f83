/** Measures what a router's work costs at growing sizes and extrapolates to the size that the design must reach. */
package org.amaranthlock.bench.capacity;
