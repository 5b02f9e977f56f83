/** The policies that are compared. */
package org.amaranthlock.bench.policy;
