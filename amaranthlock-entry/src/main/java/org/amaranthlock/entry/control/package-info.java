/**
 * Polls and watches the store, directly or through peers, to keep configuration and targets up to date; runs on the
 * control thread.
 */
package org.amaranthlock.entry.control;
