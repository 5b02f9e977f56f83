/** The router daemon: control loop, command dispatch, timeline and assembly of the process. */
package org.amaranthlock.router;
