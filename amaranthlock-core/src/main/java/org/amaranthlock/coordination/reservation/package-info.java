/**
 * Reservations of engines for streams that several hosts place at the same moment.
 *
 * <p>One host, the keeper, keeps the reservations of a group of engines. Hosts ask it before they place a stream, because
 * load reports show the placements of the others too late.
 */
package org.amaranthlock.coordination.reservation;
