/** Detection of poison requests, which crash the targets that run them. */
package org.amaranthlock.coordination.poison;
