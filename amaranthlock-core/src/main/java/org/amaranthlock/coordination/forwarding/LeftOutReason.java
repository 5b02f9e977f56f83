package org.amaranthlock.coordination.forwarding;

/** Why a registered target is not among the candidates for a request. */
public enum LeftOutReason {
    /** It accepts no new requests, by its registration. */
    DRAINING("draining"),

    /** It has asked for a rest or said that it leaves. */
    RESTING_OR_LEAVING("resting-or-leaving"),

    /** The request has failed there. */
    FAILED_FOR_REQUEST("failed-for-this-request"),

    /** Its version is not the one that began the stream. */
    OTHER_VERSION_THAN_STREAM("other-version-than-stream"),

    /** This host has used its share of the connections. */
    NO_CONNECTION_LEFT("no-connection-left"),

    /** It fails if it rejects too many requests, and has no room. */
    BRITTLE_AND_FULL("brittle-and-full"),

    /** It is excluded after a failure. */
    FAILED_RECENTLY("failed-recently"),

    /** The roll-out of the service has the request use another version. */
    OTHER_VERSION_PREFERRED("other-version-preferred"),

    /** It limits its request rate, and this host has no permit in stock. */
    NO_PERMIT("no-permit");

    private final String label;

    LeftOutReason(String label) {
        this.label = label;
    }

    /** Returns the stable name of the reason for operators. */
    public String label() {
        return label;
    }
}
