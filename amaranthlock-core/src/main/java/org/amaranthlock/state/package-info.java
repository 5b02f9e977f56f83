/** Tables that the coordination layer decides on. */
package org.amaranthlock.state;
