/** Follows the store and keeps what the process believes; runs on the control thread. */
package org.amaranthlock.entry.control;
