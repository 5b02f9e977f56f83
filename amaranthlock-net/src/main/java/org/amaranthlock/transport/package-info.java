/** Interfaces between the decision core's commands and events and the network. */
package org.amaranthlock.transport;
