/** Stand-in for the model weight store. */
package org.amaranthlock.standin.weights;
