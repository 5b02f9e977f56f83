package org.amaranthlock.standin;

import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Option;

/** Command-line options shared by all stand-in processes. */
public final class ServerOptions {
    @Option(names = "--host", defaultValue = "127.0.0.1", description = "IP address to listen on.")
    private String host;

    @Option(names = "--port", defaultValue = "0", description = "Port to listen on; 0 selects an ephemeral port.")
    private int port;

    /** Returns the IP address to listen on. */
    public String host() {
        return host;
    }

    /** Returns the port to listen on, or 0 for an ephemeral port. */
    public int port() {
        return port;
    }

    /** Starts a stand-in, prints its address and blocks until the process is terminated. */
    public static int serve(Standin standin) throws InterruptedException {
        ProcessLogging.disableHttpLibraryLogging();
        standin.start();
        System.out.println("listening " + standin.address());
        System.out.flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
