package org.amaranthlock.entry.front;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens listening sockets.
 *
 * <p>A starting process opens its client address before anything else is loaded, so this class uses Java's class
 * library only.
 */
public final class ListeningSocket {
    /** Connections that wait until they are accepted. */
    static final int BACKLOG = 1_024;

    private ListeningSocket() {}

    /** Opens a listening socket, whose connections wait until a server accepts them. */
    public static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return channel.bind(address, BACKLOG);
    }

    /**
     * Parses an address.
     *
     * @param text IP address and port, separated by a colon
     * @throws IllegalArgumentException if the text is something else
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, Math.max(0, colon))), port);
        } catch (IOException | IllegalArgumentException e) {
            throw new IllegalArgumentException("an address must be IP:PORT, not \"" + text + "\"", e);
        }
    }
}
