/** State on which the coordination layer bases its decisions. */
package org.amaranthlock.state;
