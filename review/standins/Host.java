import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Entry host: a process of the project, started by the command of the deploy file. */
final class Host implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int PORT_ATTEMPTS = 100;

    final String name;
    final String front;
    final String ready;
    final Path output;
    private final Process process;

    /**
     * Starts a host in the repository's root.
     *
     * @param bounds lines of the section of bounds
     */
    Host(Path folder, String ip, String name, String zone, String store) throws IOException {
        this.name = name;
        this.front = ip + ":" + freePort(ip);
        this.ready = ip + ":" + freePort(ip);
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, """
                [host]
                name = "%s"
                failure-domain = "%s"
                [regions]
                "muc-halle1" = "suedbayern"
                "nbg-halle2" = "mittelfranken"
                [listen]
                callers = "%s"
                ready = "%s"
                metrics = "%s"
                peers = "%s"
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
                """.formatted(name, zone, front, ready, ip + ":" + freePort(ip), ip + ":" + freePort(ip), store));
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                for (String word : line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")) {
                    command.add(word.equals("{{listen.front}}") ? front : word);
                }
            }
        }
        this.output = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("AMARANTHLOCK_SETTINGS", settings.toString());
        this.process = builder.redirectErrorStream(true).redirectOutput(new File(output.toString())).start();
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort(String ip) throws IOException {
        for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use; another one is tried.
            }
        }
        throw new CannotRunException("no free port");
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the exit status, which is known once the process has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Sends a signal to the process, by its name. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-s", signal, Long.toString(pid())).start().waitFor();
    }

    /** Returns whether the host says that it is ready, as the platform asks it. */
    boolean isReady() {
        try (Socket socket = Http.connect(ready, 1000)) {
            socket.getOutputStream().write("GET /api/ready HTTP/1.1\r\nHost: p\r\n\r\n".getBytes());
            return Http.read(socket.getInputStream(), true, false).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws InterruptedException {
        long until = Clock.millis() + 20_000;
        while (!isReady()) {
            if (Clock.millis() > until) {
                throw new CannotRunException("host " + name + " did not become ready; running: " + alive() + lastOutput());
            }
            Thread.sleep(100);
        }
    }

    private String lastOutput() {
        try {
            List<String> lines = Files.readAllLines(output);
            return ", last output: " + lines.subList(Math.max(0, lines.size() - 3), lines.size());
        } catch (IOException e) {
            return ", no output: " + e.getMessage();
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
