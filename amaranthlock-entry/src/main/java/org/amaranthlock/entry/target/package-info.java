/** Connections to targets. */
package org.amaranthlock.entry.target;
