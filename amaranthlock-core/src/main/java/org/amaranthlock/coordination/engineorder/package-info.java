/** Orders to engines under a fenced lease. */
package org.amaranthlock.coordination.engineorder;
