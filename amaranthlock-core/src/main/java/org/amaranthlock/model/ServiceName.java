package org.amaranthlock.model;

/**
 * Identifies a service that clients address and targets implement.
 *
 * @param value non-blank text
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    public ServiceName {
        Arguments.requireText(value, "service name");
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
