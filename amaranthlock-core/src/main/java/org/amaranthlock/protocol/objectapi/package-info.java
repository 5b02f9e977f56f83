/** Objects that are kept in the platform's object API, and operations on them. */
package org.amaranthlock.protocol.objectapi;
