/** Proof of the design's invariants under failure: whole router cores, a network, targets and callers in virtual time. */
package org.amaranthlock.faults;
