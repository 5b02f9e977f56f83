/** Stand-ins for the store and the workers of the users' platform, with the faults that the platform documents. */
package org.amaranthlock.standin.fleet;
