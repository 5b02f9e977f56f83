/** Servers for clients, the load balancer's readiness check and metrics. */
package org.amaranthlock.entry.front;
