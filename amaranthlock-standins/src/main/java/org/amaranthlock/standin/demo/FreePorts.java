package org.amaranthlock.standin.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Prints free loopback ports for processes that must know each other's ports before they start. */
public final class FreePorts {
    private FreePorts() {}

    /** Prints the number of ports given by the first argument, one per line. */
    public static void main(String[] args) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        }
        for (ServerSocket socket : sockets) {
            System.out.println(socket.getLocalPort());
            socket.close();
        }
    }
}
