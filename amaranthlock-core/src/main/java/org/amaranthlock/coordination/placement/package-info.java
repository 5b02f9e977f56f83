/** Choice of the target of an attempt or of a KV cache backup among candidates; pure decisions without a clock. */
package org.amaranthlock.coordination.placement;
