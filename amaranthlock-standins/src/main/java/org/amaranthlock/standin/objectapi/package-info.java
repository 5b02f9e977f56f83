/** Stand-in for the platform that routers use: object API, host list and fault injection. */
package org.amaranthlock.standin.objectapi;
