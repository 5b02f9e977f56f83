/**
 * Which software version began an event stream, and which versions are registered. A stream goes on only at the version
 * that began it, at any host that its client comes back to.
 */
package org.amaranthlock.coordination.streamversion;
