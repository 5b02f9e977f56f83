/** Account of a played day: where its worth was lost, and which requests lost it, from a report and the hosts' logs. */
package org.amaranthlock.bench.account;
