/** Life of a request: attempts, resume, retries, claims and the final outcome. */
package org.amaranthlock.coordination.request;
