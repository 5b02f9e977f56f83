package org.amaranthlock.transport.peer;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import org.amaranthlock.model.Arguments;

/** Reads and writes addresses made of an IP number and a port; names are never looked up. */
final class PeerAddresses {
    private PeerAddresses() {}

    /**
     * Reads an address.
     *
     * @throws IllegalArgumentException if it is not an IP number and a port
     */
    static InetSocketAddress parse(String address) {
        HostAndPort parts = HostAndPort.fromString(address);
        Arguments.require(parts.hasPort(), "the address lacks a port: " + address);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    static String format(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
                .toString();
    }
}
