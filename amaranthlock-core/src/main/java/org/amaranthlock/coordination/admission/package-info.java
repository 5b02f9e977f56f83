/** Admission, queueing and rate limiting of requests by client account. */
package org.amaranthlock.coordination.admission;
