/** Logging configuration. */
package org.amaranthlock.router.log;
