/** Stand-in for the platform: object API, host list and faults. */
package org.amaranthlock.standin.objectapi;
