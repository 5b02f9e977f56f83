package org.amaranthlock.model;

import java.util.Objects;

/**
 * Entry of the timeline of events across all processes.
 *
 * @param hybridTime hybrid logical clock: milliseconds since the epoch shifted left by 16 bits, plus a counter
 * @param host the process that recorded the event
 * @param kind kind of event, for example {@code attempt-lost}
 * @param subject id of the request, target or entry that the event concerns
 * @param text description in one sentence
 */
public record TimelineEvent(long hybridTime, HostId host, String kind, String subject, String text) {
    public TimelineEvent {
        Objects.requireNonNull(host, "host");
        Arguments.requireText(kind, "kind");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(text, "text");
    }
}
