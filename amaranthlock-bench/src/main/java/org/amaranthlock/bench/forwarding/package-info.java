/**
 * Benchmark of the placement of forwarded streams in virtual time. Entry hosts run the production decision core, and
 * engines follow the engine model of the specification.
 */
package org.amaranthlock.bench.forwarding;
