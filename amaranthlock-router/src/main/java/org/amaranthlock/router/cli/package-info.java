/** Command line that runs and operates routers. */
package org.amaranthlock.router.cli;
