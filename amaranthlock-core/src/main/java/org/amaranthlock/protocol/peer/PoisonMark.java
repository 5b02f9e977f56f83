package org.amaranthlock.protocol.peer;

/**
 * Blame for target deaths that a router passes on.
 *
 * @param fingerprint content hash of the request
 * @param ledgerKey ledger key of the request
 * @param crashScore thousandths of a target death
 * @param poison whether the request is refused
 * @param atMillis time of the last death, milliseconds since the epoch
 */
public record PoisonMark(long fingerprint, String ledgerKey, int crashScore, boolean poison, long atMillis) {}
