/**
 * Admission while requests compete for engines: a fair queue for each service, division of the engines' room
 * among hosts and client accounts, and rejection of requests that cannot be answered in time. Room is the free capacity
 * of engines that have no prompt to prefill and enough KV cache.
 *
 * <p>Load patterns: demand rises within a second while engines fail, routes differ in urgency, a few large accounts
 * compete with many small ones, and all rejected clients retry at once.
 */
package org.amaranthlock.coordination.contention;
