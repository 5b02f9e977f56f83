import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Entry host as a process, started by the run line of the deploy file with the settings of its template. */
final class HostProcess {
    private static final int FIRST_PORT = 16_000;
    private static final int LAST_PORT = 32_000;
    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

    private final String name;
    private final int port = freePort();
    private final int readyPort = freePort();
    private final Path folder;
    private Process process;

    HostProcess(String name, String zone, List<String> zones, String store, Path folder) throws IOException {
        this.name = name;
        this.folder = folder;
        StringBuilder regions = new StringBuilder();
        zones.forEach(each -> regions.append("\"" + each + "\" = \"region-of-" + each + "\"\n"));
        Files.writeString(settings(), """
                [host]
                name = "%s"
                failure-domain = "%s"
                [regions]
                %s
                [listen]
                callers = "127.0.0.1:%d"
                ready = "127.0.0.1:%d"
                metrics = "127.0.0.1:%d"
                peers = "127.0.0.1:%d"
                [store]
                address = "%s"
                [bounds]
                configuration-ms = 2500
                revocation-ms = 5000
                grace-s = 8
                repeats-per-request = 0.8
                repeats-slack = 150
                repeats-window-s = 10
                [forwarding.mechanisms]
                host-queue = false
                region-links = false
                """.formatted(name, zone, regions, port, readyPort, freePort(), freePort(), store));
    }

    /** Returns a free port that was not returned before, below those that systems give to connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!USED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another program uses it.
            }
        }
    }

    int port() {
        return port;
    }

    int readyPort() {
        return readyPort;
    }

    Process process() {
        return process;
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    private Path settings() {
        return folder.resolve(name + ".toml");
    }

    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"(.*)\"", "$1")
                .replace("{{listen.front}}", "127.0.0.1:" + port);
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.split(" "))));
        builder.environment().put("AMARANTHLOCK_SETTINGS", settings().toString());
        builder.redirectErrorStream(true);
        File output = log().toFile();
        builder.redirectOutput(output);
        process = builder.start();
    }

    /** Waits until the host answers its readiness check with 200; returns whether it does. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Sends one readiness check, which has a second to be answered. */
    boolean isReady() {
        try (Client client = new Client(readyPort, 1_000)) {
            client.send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            Http.Head head = client.readHead();
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Changes the settings file as the platform does, and tells the process so with SIGHUP. */
    void changeSettings(int change) throws IOException, InterruptedException {
        Path changed = folder.resolve(name + ".new");
        Files.writeString(
                changed, Files.readString(settings()).replaceFirst("grace-s = [0-9]+", "grace-s = " + (8 + change)));
        Files.move(changed, settings(), StandardCopyOption.ATOMIC_MOVE);
        signal("HUP");
    }

    /** Sends a signal to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns whether the process runs, and the last lines of its log. */
    String state() throws IOException {
        List<String> lines = Files.readAllLines(log());
        String state = process.isAlive() ? "runs" : "has ended with " + process.exitValue();
        return name + " " + state + "; its last lines: " + lines.subList(Math.max(0, lines.size() - 5), lines.size());
    }

    /** Kills the process, if it runs. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
