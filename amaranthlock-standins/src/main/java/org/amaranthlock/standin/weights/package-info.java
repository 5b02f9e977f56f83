/** Stand-in for the weight store. */
package org.amaranthlock.standin.weights;
