package org.amaranthlock.model;

/**
 * Identifies one client request, uniquely across all hosts.
 *
 * @param value non-blank text
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Arguments.requireText(value, "request id");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
