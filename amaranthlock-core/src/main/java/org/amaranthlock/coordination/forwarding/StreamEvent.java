package org.amaranthlock.coordination.forwarding;

/**
 * One complete event of a stream.
 *
 * @param id id of the event, which increases by one with each event
 * @param bytes the event as sent by the target, including the terminating blank line
 */
public record StreamEvent(long id, byte[] bytes) {}
