/** Request processing: attempts, resumption, retries, claims and the final outcome. */
package org.amaranthlock.coordination.request;
