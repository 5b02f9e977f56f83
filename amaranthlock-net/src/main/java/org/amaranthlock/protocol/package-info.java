/** Byte formats of peer messages and platform objects, and the hybrid logical clock that peer frames carry. */
package org.amaranthlock.protocol;
