/** Load driver of the demo, which also verifies responses and outcome records. */
package org.amaranthlock.standin.demo;
