/** Authenticated TCP connections between routers. */
package org.amaranthlock.transport.peer;
