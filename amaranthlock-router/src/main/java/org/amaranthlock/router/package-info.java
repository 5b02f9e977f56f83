/** Router daemon: process lifecycle, control loop and command dispatch. */
package org.amaranthlock.router;
