/** HTTP client support shared by the platform transport and the target transport. */
package org.amaranthlock.transport.http;
