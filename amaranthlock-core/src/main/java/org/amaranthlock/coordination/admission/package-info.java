/** Admission, queueing and limits per client account. */
package org.amaranthlock.coordination.admission;
