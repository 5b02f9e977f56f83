/** Selection of the target for an attempt. */
package org.amaranthlock.coordination.routing;
