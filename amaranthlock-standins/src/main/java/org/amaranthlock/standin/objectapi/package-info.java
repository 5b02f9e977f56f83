/** Stand-in for the platform: object API, host list and fault injection. */
package org.amaranthlock.standin.objectapi;
