/** Validation, writing and replication of configuration entries. */
package org.amaranthlock.coordination.configuration;
