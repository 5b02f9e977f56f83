package org.amaranthlock.entry.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.amaranthlock.coordination.contention.Backlog;
import org.amaranthlock.coordination.contention.ServiceBacklog;
import org.amaranthlock.coordination.contention.ServiceQueue;
import org.amaranthlock.coordination.estimate.TargetSpeed;
import org.amaranthlock.coordination.estimate.TargetSpeeds;
import org.amaranthlock.coordination.loadreport.ReportPlanner;
import org.amaranthlock.entry.EntryProcess;
import org.amaranthlock.entry.log.LogOutput;
import org.amaranthlock.entry.settings.EntrySettingsReader;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.platform.ReadinessCheck;
import org.amaranthlock.platform.SampleMessages;
import org.apache.commons.rng.simple.RandomSource;
import org.jboss.logging.Logger;
import picocli.CommandLine.Command;

/**
 * Starts a few daemons and sends them some requests over loopback, so that a class data sharing (CDS) archive contains the
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

    /** Hosts that start together, which connect to one another and exchange reports. */
    private static final int HOSTS = 3;

    /** Time in which the hosts list one another and exchange reports. */
    private static final long EXCHANGE_MILLIS = 4_000;

    /** Time in which the hosts notice that another one has closed its connections. */
    private static final long DISCONNECT_MILLIS = 500;

    private static final Logger LOG = Logger.getLogger(CdsTrainingRun.class);

    @Override
    public Integer call() throws IOException, InterruptedException {
        LogOutput.configure();
        EventLoopGroup loops = new NioEventLoopGroup(1);
        InetSocketAddress store = new CdsTrainingServer(ReportPlanner.MAX_DIRECT_HOSTS).start(loops);
        List<EntryProcess> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(start(i, store));
        }
        for (EntryProcess host : hosts) {
            awaitReady(host.readinessAddress().getPort());
        }
        Thread.sleep(EXCHANGE_MILLIS);
        // One that starts beside others asks them.
        EntryProcess last = start(HOSTS, store);
        awaitReady(last.readinessAddress().getPort());
        hosts.add(last);
        for (int round = 0; round < ROUNDS; round++) {
            for (EntryProcess host : hosts) {
                sendRequests(host.clientAddress().getPort());
            }
        }
        reportSpeed();
        reportBacklog();
        stopOne(hosts.removeLast());
        hosts.forEach(EntryProcess::drain);
        for (EntryProcess host : hosts) {
            host.awaitTermination();
        }
        return 0;
    }

    /** Reports the speed of a target; whether the hosts report one to each other depends on the times that they measure. */
    private static void reportSpeed() {
        TargetSpeeds speeds = new TargetSpeeds();
        speeds.updateRemote("rehearsal-0", Map.of(new TargetId("i-1"), new TargetSpeed(2, 1)));
        speeds.removeRemote("rehearsal-0");
    }

    /** Reports requests that wait at another host; whether one reports any depends on the times that it measures. */
    private static void reportBacklog() {
        Backlog backlog = new Backlog(0, new AccountId("sample"), 1, 1, 0);
        ServiceQueue<String> queue = new ServiceQueue<>(RandomSource.SPLIT_MIX_64.create());
        queue.updateRemote("rehearsal-0", new ServiceBacklog(List.of(backlog), Map.of()), 0);
        queue.meanRemotePrefillMillis(0);
    }

    /** Stops a host beside others, which lose their connections to it; a stack trace is logged, as on any fault. */
    private static void stopOne(EntryProcess host) throws InterruptedException {
        host.drain();
        host.awaitTermination();
        host.stop();
        Thread.sleep(DISCONNECT_MILLIS);
        LOG.warn("Sample fault of the training run; ignore it", new IOException("sample"));
    }

    private static EntryProcess start(int number, InetSocketAddress store) {
        EntryProcess host = new EntryProcess(EntrySettingsReader.parse(settings(number, store.getPort())));
        Signals.onTerminate(host::drain);
        Signals.onHangUp(host::drain);
        host.start();
        return host;
    }

    private static void sendRequests(int port) throws IOException {
        request(port, "POST", "/s/x", "abc");
        request(port, "GET", "/p/x", "");
        request(port, "GET", "/none", "");
    }

    private static String settings(int host, int storePort) {
        return """
                [host]
                name = "rehearsal-%d"
                failure-domain = "z"
                [regions]
                "z" = "west"
                "y" = "east"
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
                exposure-share = 0.1
                """.formatted(host, storePort);
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
