/** Messages that routers exchange over TCP; the codec lives with the transports. */
package org.amaranthlock.protocol.peer;
