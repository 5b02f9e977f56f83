package org.amaranthlock.standin;

import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Option;

/** Options that every stand-in process has. */
public final class ServerOptions {
    @Option(names = "--host", defaultValue = "127.0.0.1", description = "IP number to listen on.")
    private String host;

    @Option(names = "--port", defaultValue = "0", description = "Port, 0 for an ephemeral one.")
    private int port;

    /** Returns the IP number to listen on. */
    public String host() {
        return host;
    }

    /** Returns the port to listen on. */
    public int port() {
        return port;
    }

    /** Starts a stand-in, prints its address and waits until the process is ended. */
    public static int serve(Standin standin) throws InterruptedException {
        ProcessLogging.disableHttpLibraryLogging();
        standin.start();
        System.out.println("listening " + standin.address());
        System.out.flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
