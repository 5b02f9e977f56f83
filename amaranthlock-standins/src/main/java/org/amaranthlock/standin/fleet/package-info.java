/** Stand-ins for the users' platform: its store and its workers, with the faults that its pages name. */
package org.amaranthlock.standin.fleet;
