/** Failure detection among routers, gossip, and the availability of targets. */
package org.amaranthlock.coordination.membership;
