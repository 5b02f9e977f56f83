/** Small fakes at the interfaces of the decision core, driven by virtual time. */
package org.amaranthlock.bench.sim;
