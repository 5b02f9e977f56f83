/**
 * Tests of the system's invariants under faults: complete router cores with a simulated network, platform, targets and
 * clients, in virtual time.
 */
package org.amaranthlock.faults;
