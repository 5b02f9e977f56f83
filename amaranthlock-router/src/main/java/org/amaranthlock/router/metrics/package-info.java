/** Prometheus metrics of a router process. */
package org.amaranthlock.router.metrics;
