/** Randomized soak test: runs the real processes on loopback, injects faults from outside and checks the guarantees. */
package org.amaranthlock.standin.soak;
