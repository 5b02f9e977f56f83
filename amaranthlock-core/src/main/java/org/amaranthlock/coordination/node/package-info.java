/** Decision core of a router, composed of all components. */
package org.amaranthlock.coordination.node;
