/** Explains, on the metrics address, where a request would go now and why; loaded when it is used first. */
package org.amaranthlock.entry.explain;
