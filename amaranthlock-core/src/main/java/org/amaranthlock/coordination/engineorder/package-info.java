/** Orders to engines, sent by the holder of a lease with fencing numbers. */
package org.amaranthlock.coordination.engineorder;
