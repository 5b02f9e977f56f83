/** Measures what an entry host costs, with the real daemon as separate processes. */
package org.amaranthlock.standin.cost;
