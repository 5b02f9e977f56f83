/** Load driver and checker of the demo. */
package org.amaranthlock.standin.demo;
