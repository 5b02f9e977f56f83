/** Estimates of what targets can do, learned from the requests that a host forwards; they contain no decisions. */
package org.amaranthlock.coordination.estimate;
