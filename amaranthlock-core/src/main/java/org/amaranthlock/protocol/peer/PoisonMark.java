package org.amaranthlock.protocol.peer;

/**
 * Blame for target deaths that a router passes on.
 *
 * @param fingerprint content hash of the request
 * @param ledgerKey ledger key of the request
 * @param blameMillis thousandths of a target death
 * @param condemned whether the request is refused
 * @param atMillis time of the last death, milliseconds since the epoch
 */
public record PoisonMark(long fingerprint, String ledgerKey, int blameMillis, boolean condemned, long atMillis) {}
