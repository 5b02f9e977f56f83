/** Targets that fail when they have to reject too many requests for want of room. */
package org.amaranthlock.coordination.brittle;
