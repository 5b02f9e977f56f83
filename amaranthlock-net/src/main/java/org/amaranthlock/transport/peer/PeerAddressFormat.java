package org.amaranthlock.transport.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import org.amaranthlock.model.Arguments;

/** Parses and formats addresses that consist of an IP address and a port; host names are rejected, never resolved. */
final class PeerAddressFormat {
    private PeerAddressFormat() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if it is not an IP address and a port
     */
    static InetSocketAddress parse(String address) {
        HostAndPort parts = HostAndPort.fromString(address);
        Arguments.require(parts.hasPort(), "address lacks a port: " + address);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    static String format(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
                .toString();
    }
}
