/** HTTP server for clients and operators. */
package org.amaranthlock.router.http;
