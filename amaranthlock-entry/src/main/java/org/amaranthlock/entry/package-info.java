/** Daemon of an entry host on the users' platform: wiring, start and end of the process. */
package org.amaranthlock.entry;
