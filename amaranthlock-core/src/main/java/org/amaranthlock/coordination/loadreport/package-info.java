/**
 * How load reports reach all hosts of a fleet with a number of messages that does not grow with the square of the hosts,
 * and with bytes that leave room for requests: which hosts pass reports on, what they pass on and how often, and which
 * report of a host is its newest.
 */
package org.amaranthlock.coordination.loadreport;
