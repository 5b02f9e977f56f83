/** Wire formats of peer messages and platform objects, and the hybrid logical clock that timestamps peer frames. */
package org.amaranthlock.protocol;
