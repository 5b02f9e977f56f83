/** Command line of the entry daemon. */
package org.amaranthlock.entry.cli;
