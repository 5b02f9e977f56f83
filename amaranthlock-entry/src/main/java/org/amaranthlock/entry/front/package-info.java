/** Connections of clients and of the load balancer. */
package org.amaranthlock.entry.front;
