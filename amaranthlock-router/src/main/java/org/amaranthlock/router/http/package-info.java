/** HTTP server for callers and operators. */
package org.amaranthlock.router.http;
