/** Failure detection among routers and the availability of targets. */
package org.amaranthlock.coordination.membership;
