/** Decides what crosses the links between regions, from what hosts measure of them. */
package org.amaranthlock.coordination.region;
