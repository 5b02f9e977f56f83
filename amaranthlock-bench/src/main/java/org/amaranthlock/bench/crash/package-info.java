/** Simulation of hosts whose requests share a part of their prompts that crashes engines. */
package org.amaranthlock.bench.crash;
