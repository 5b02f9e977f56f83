/** Entry daemon, which serves client traffic: wiring, startup and shutdown of the process. */
package org.amaranthlock.entry;
