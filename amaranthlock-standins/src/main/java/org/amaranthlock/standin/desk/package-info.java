/** Stand-in for an order desk, a service whose orders are not idempotent and must not be executed twice. */
package org.amaranthlock.standin.desk;
