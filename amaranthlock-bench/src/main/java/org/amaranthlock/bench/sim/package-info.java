/** Simulated engines and routers, and fakes for the interfaces of the decision core, in virtual time. */
package org.amaranthlock.bench.sim;
