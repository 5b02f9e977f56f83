/**
 * Request rate limits that targets name, and how all hosts together keep them.
 *
 * <p>Each host owns an equal share of the rate of each limited target. It lends its shares of a service to one host,
 * the permit issuer of the service, as long as it reaches it, and asks this host for a permit before it sends a
 * request. A permit that is not used expires, and so does a share that is not renewed. No host sends on the strength of
 * a share that it has lent, so the sum holds whichever messages are lost and whichever hosts disagree on the issuer.
 *
 * <p>No class in this package opens a socket or reads a clock.
 */
package org.amaranthlock.coordination.targetlimit;
