/** Stand-in for an order desk, a plain service whose orders must not be repeated. */
package org.amaranthlock.standin.desk;
