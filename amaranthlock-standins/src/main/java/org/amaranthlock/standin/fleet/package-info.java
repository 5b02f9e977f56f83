/** Stand-ins for the store and the workers that entry hosts use, with the faults that their platform documents. */
package org.amaranthlock.standin.fleet;
