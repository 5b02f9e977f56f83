/** Network transports, which execute commands of the decision core and report the results to it as events. */
package org.amaranthlock.transport;
