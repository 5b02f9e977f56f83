/** What targets say of themselves in their responses: that they leave, or want no request from this host for some time. */
package org.amaranthlock.coordination.availability;
