package org.amaranthlock.protocol.peer;

/**
 * Crash score of one request, disseminated by gossip.
 *
 * @param fingerprint hash of the request content
 * @param ledgerKey ledger key of the request
 * @param crashScore share of target crashes attributed to the request, in thousandths of a crash
 * @param poison whether the request is rejected as poison
 * @param atMillis time of the last crash, milliseconds since the epoch
 */
public record PoisonMark(long fingerprint, String ledgerKey, int crashScore, boolean poison, long atMillis) {}
