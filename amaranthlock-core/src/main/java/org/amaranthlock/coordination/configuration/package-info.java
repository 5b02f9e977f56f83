/** Acceptance and distribution of configuration. */
package org.amaranthlock.coordination.configuration;
