/** Structured logging of the entry daemon. */
package org.amaranthlock.entry.log;
