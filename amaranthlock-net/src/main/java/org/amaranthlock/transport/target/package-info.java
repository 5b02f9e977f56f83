/** HTTP clients of model engines and plain services. */
package org.amaranthlock.transport.target;
