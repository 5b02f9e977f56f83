/**
 * Moves the traffic of a service to a new software version in steps, judges that version, and moves the traffic back if
 * it is worse. Load pattern: targets of two versions run side by side, and the new one may fail or slow down a part of
 * its requests, at once or later.
 */
package org.amaranthlock.coordination.rollout;
