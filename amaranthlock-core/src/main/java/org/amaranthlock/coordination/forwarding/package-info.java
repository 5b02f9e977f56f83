/**
 * Decision logic for requests that an entry host forwards: admission, load balancing, retries, resumption and
 * completion.
 *
 * <p>No class in this package opens a socket or starts a thread. The current time is passed as a parameter; only
 * {@link org.amaranthlock.coordination.forwarding.SuspensionAwareClock} reads clocks, which its creator supplies.
 */
package org.amaranthlock.coordination.forwarding;
