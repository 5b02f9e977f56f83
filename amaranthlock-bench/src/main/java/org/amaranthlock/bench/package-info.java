/** Virtual-time bench of the policies under load and faults. */
package org.amaranthlock.bench;
