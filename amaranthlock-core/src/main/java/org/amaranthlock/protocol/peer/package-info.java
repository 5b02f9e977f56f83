/** Messages that routers exchange over TCP; the codec is part of the network module. */
package org.amaranthlock.protocol.peer;
