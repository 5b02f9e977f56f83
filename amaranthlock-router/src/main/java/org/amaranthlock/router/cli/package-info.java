/** Command line for running and operating routers. */
package org.amaranthlock.router.cli;
