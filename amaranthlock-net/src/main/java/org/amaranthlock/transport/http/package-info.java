/** HTTP clients that the platform and target transports share. */
package org.amaranthlock.transport.http;
