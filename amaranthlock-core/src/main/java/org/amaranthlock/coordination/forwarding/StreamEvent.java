package org.amaranthlock.coordination.forwarding;

/**
 * One whole event of a stream.
 *
 * @param id its number; grows by one with each event
 * @param bytes the event as the target sent it, with the blank line that ends it
 */
public record StreamEvent(long id, byte[] bytes) {}
