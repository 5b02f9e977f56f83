/** Objects that are stored through the platform's object API. */
package org.amaranthlock.protocol.objectapi;
