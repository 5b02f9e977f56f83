/** Settings of an entry daemon. */
package org.amaranthlock.entry.settings;
