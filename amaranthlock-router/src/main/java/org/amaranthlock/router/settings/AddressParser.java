package org.amaranthlock.router.settings;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses and formats addresses that consist of an IP address and a port; never resolves host names. */
public final class AddressParser {
    private AddressParser() {}

    /**
     * Parses an address; returns an empty value if the text is malformed.
     *
     * @param text IP address and port, for example {@code 10.0.0.1:7400} or {@code [::1]:7400}
     * @param allowPortZero whether port 0, which makes a server listen on any free port, is allowed
     */
    public static Optional<InetSocketAddress> parse(String text, boolean allowPortZero) {
        try {
            HostAndPort parts = HostAndPort.fromString(text);
            if (!parts.hasPort() || parts.getPort() == 0 && !allowPortZero) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the text form of an address, which {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        return InetAddresses.toUriString(address.getAddress()) + ":" + address.getPort();
    }
}
