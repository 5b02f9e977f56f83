/** Capacity benchmark: measures the cost of a router at increasing fleet sizes and extrapolates to the design size. */
package org.amaranthlock.bench.capacity;
