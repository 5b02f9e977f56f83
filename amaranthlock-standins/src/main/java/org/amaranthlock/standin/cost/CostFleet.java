package org.amaranthlock.standin.cost;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.amaranthlock.standin.ChildProcess;
import org.amaranthlock.standin.fleet.FleetStore;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.OperatorConfiguration;
import org.jboss.logging.Logger;

/** Store and workers in this process, and entry hosts as processes of their own. */
final class CostFleet implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(CostFleet.class);
    private static final int WORKERS_PER_SERVICE = 4;
    private static final long EVENT_MILLIS = 20;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    /** First port for hosts; below the ports that the system gives to outgoing connections. */
    private static final int FIRST_PORT = 20_000;

    private static final String SETTINGS_VARIABLE = "AMARANTHLOCK_SETTINGS";

    private final FleetStore store = new FleetStore("127.0.0.1", 0);
    private final List<FleetWorker> workers = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final Path directory;
    private final List<String> command;
    private final int domains;
    private int configurationVersion = 1;
    private int nextPort = FIRST_PORT;

    /** Entry host with its addresses. */
    final class Host {
        private final int index;
        private final String clientAddress;
        private final String readinessAddress;
        private final String metricsAddress;
        private final String peerAddress;
        private ChildProcess process;

        private Host(int index) {
            this.index = index;
            this.clientAddress = freeAddress();
            this.readinessAddress = freeAddress();
            this.metricsAddress = freeAddress();
            this.peerAddress = freeAddress();
        }

        String clientAddress() {
            return clientAddress;
        }

        long processorMillis() {
            return process.processorMillis();
        }
    }

    CostFleet(Path directory, List<String> command, int hostCount, int domains) {
        this.directory = directory;
        this.command = command;
        this.domains = domains;
        store.start();
        store.put("config", "main", OperatorConfiguration.standard(configurationVersion, "key-1"));
        for (int i = 0; i < WORKERS_PER_SERVICE; i++) {
            addWorker("engine-" + i, "engines", true);
            addWorker("desk-" + i, "desks", false);
        }
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(i));
        }
    }

    List<Host> hosts() {
        return hosts;
    }

    FleetStore store() {
        return store;
    }

    /** Starts a host, which is not ready yet when the method returns. */
    void start(Host host) throws IOException {
        Path settings = directory.resolve("entry-" + host.index + ".toml");
        Files.writeString(settings, settings(host));
        List<String> arguments = new ArrayList<>(command);
        arguments.add(host.clientAddress);
        host.process = ChildProcess.start(
                "entry-" + host.index, directory, arguments, Map.of(SETTINGS_VARIABLE, settings.toString()));
    }

    /** Kills a host. */
    void kill(Host host) {
        host.process.kill();
    }

    /** Returns whether a host answers that it is ready. */
    boolean isReady(Host host) throws InterruptedException {
        try {
            return client.send(request(host.readinessAddress, "/api/ready"), BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    /** Returns the sum of a host's counters whose names and labels begin with a text. */
    double counter(Host host, String prefix) throws IOException, InterruptedException {
        String metrics = client.send(request(host.metricsAddress, "/metrics"), BodyHandlers.ofString())
                .body();
        return metrics.lines()
                .filter(line -> line.startsWith(prefix))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Writes the configuration again under the next version. */
    void changeConfiguration() {
        store.put("config", "main", OperatorConfiguration.standard(++configurationVersion, "key-1"));
    }

    /** Adds and removes the registration of a worker. */
    void changeTarget(int number) {
        FleetWorker worker = workers.getFirst();
        store.put("servers", "other-" + number, worker.registration("others", "zone-0", "ready"));
        store.remove("servers", "other-" + number);
    }

    @Override
    public void close() {
        hosts.stream().filter(host -> host.process != null).forEach(this::kill);
        workers.forEach(FleetWorker::stop);
        store.stop();
        client.close();
    }

    private void addWorker(String id, String service, boolean engine) {
        FleetWorker worker = new FleetWorker(id, engine, EVENT_MILLIS, 0);
        worker.start();
        workers.add(worker);
        store.put("servers", id, worker.registration(service, "zone-0", "ready"));
    }

    private String settings(Host host) {
        return """
                [host]
                name = "entry-%d"
                failure-domain = "zone-%d"
                [listen]
                callers = "%s"
                ready = "%s"
                metrics = "%s"
                peers = "%s"
                [store]
                address = "%s"
                """.formatted(
                        host.index,
                        host.index % domains,
                        host.clientAddress,
                        host.readinessAddress,
                        host.metricsAddress,
                        host.peerAddress,
                        store.address());
    }

    private static HttpRequest request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(CALL_TIMEOUT)
                .build();
    }

    private String freeAddress() {
        while (true) {
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (IOException e) {
                LOG.debugf("Port %d is in use: %s", port, e.getMessage());
            }
        }
    }
}
