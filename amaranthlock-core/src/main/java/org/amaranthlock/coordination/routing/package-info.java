/** Choice of a target for an attempt. */
package org.amaranthlock.coordination.routing;
