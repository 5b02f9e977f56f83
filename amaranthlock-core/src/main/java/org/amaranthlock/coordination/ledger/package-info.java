/** Partitioned ledger of claims and outcome records. */
package org.amaranthlock.coordination.ledger;
