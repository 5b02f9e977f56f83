/** Set-up of the log output. */
package org.amaranthlock.router.log;
