/**
 * Decisions on a request that an entry host forwards: admission, choice of a target, repeats, resumption and its end.
 *
 * <p>Nothing here reads a clock, opens a socket or starts a thread; time comes in as a value.
 */
package org.amaranthlock.coordination.forwarding;
