/** HTTP client of the platform's object API. */
package org.amaranthlock.transport.objectapi;
