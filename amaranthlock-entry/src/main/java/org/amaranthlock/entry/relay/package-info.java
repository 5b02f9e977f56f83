/** Requests that one host passes to another because it has no path to the targets. */
package org.amaranthlock.entry.relay;
