/**
 * Decision logic for requests that an entry host forwards: admission, load balancing, retries, resumption and completion.
 *
 * <p>No class in this package reads a clock, opens a socket or starts a thread; the current time is passed as a parameter.
 */
package org.amaranthlock.coordination.forwarding;
