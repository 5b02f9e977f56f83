/** Connections between routers over TCP. */
package org.amaranthlock.transport.peer;
