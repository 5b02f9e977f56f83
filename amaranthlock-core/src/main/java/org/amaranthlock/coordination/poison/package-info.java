/** Recognition of requests that crash targets. */
package org.amaranthlock.coordination.poison;
