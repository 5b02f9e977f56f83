/**
 * Keeps requests away from targets if a part of their prompts crashes each target that begins to answer them.
 *
 * <p>Load pattern: requests of one client account share a part that crashes engines; they come at any host, no two alike,
 * beside sound requests that share the account, the route and the other parts.
 */
package org.amaranthlock.coordination.promptpart;
