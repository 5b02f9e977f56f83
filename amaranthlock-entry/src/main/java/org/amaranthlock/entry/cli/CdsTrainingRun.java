package org.amaranthlock.entry.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.amaranthlock.entry.EntryProcess;
import org.amaranthlock.entry.log.LogOutput;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.entry.settings.EntrySettingsReader;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.platform.ReadinessCheck;
import org.amaranthlock.platform.SampleMessages;
import picocli.CommandLine.Command;

/**
 * Starts the daemon and sends it a few requests over loopback, so that a class data sharing (CDS) archive contains the
 * classes that a serving process uses.
 */
@Command(
        name = "rehearse",
        hidden = true,
        description = "Serves sample requests over loopback to load the classes for a CDS archive.")
final class CdsTrainingRun implements Callable<Integer> {
    private static final int MAX_READINESS_CHECKS = 200;
    private static final int READINESS_CHECK_INTERVAL_MILLIS = 25;
    private static final int ROUNDS = 3;

    @Override
    public Integer call() throws IOException, InterruptedException {
        LogOutput.configure();
        EventLoopGroup loops = new NioEventLoopGroup(1);
        InetSocketAddress store = new CdsTrainingServer().start(loops);
        EntrySettings settings = EntrySettingsReader.parse("""
                [host]
                name = "rehearsal"
                failure-domain = "z"
                [listen]
                callers = "127.0.0.1:0"
                ready = "127.0.0.1:0"
                metrics = "127.0.0.1:0"
                peers = "127.0.0.1:0"
                [store]
                address = "127.0.0.1:%d"
                [bounds]
                configuration-ms = 2500
                revocation-ms = 5000
                grace-s = 8
                """.formatted(store.getPort()));
        EntryProcess process = new EntryProcess(settings);
        process.start();
        int clientPort = process.clientAddress().getPort();
        int readinessPort = process.readinessAddress().getPort();
        awaitReady(readinessPort);
        for (int round = 0; round < ROUNDS; round++) {
            request(clientPort, "POST", "/s/x", "abc");
            request(clientPort, "GET", "/p/x", "");
            request(clientPort, "GET", "/none", "");
        }
        process.drain();
        process.awaitTermination();
        return 0;
    }

    private static void awaitReady(int port) throws IOException, InterruptedException {
        for (int i = 0; i < MAX_READINESS_CHECKS; i++) {
            if (request(port, "GET", ReadinessCheck.PATH, "").contains("200")) {
                return;
            }
            Thread.sleep(READINESS_CHECK_INTERVAL_MILLIS);
        }
        throw new AmaranthlockException(
                ErrorCode.INTERNAL,
                "the CDS training run did not become ready; check that the loopback interface 127.0.0.1 is available");
    }

    private static String request(int port, String method, String path, String body) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            OutputStream out = socket.getOutputStream();
            out.write(SampleMessages.request(method, path, body));
            out.flush();
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
