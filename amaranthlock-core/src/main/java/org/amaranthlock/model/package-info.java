/** Identifiers, immutable values and errors shared by all layers. */
package org.amaranthlock.model;
