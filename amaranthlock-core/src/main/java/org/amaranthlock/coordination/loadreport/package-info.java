/**
 * How load reports reach all hosts of a fleet with a number of messages that does not grow with the square of the hosts:
 * which hosts pass reports on, what they pass on, and which report of a host is its newest.
 */
package org.amaranthlock.coordination.loadreport;
