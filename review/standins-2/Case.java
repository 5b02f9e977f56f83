import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Frame of a case: record, temporary folder, end of the processes, and exit status. */
abstract class Case {
    /** Longest time of a case. */
    private static final long MAX_MILLIS = 115_000;

    private final long startNanos = System.nanoTime();
    private final List<String> record = new ArrayList<>();
    private final List<HostProcess> hosts = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    protected Path work;

    /** Plays the case; calls {@link #broken} if the rule is broken. */
    abstract void play() throws Exception;

    /** Runs a case whose folder is the first argument, and ends the process with 0, 1 or 2. */
    static void run(Case played, String[] arguments) {
        int status;
        Path folder = Path.of(arguments[0]);
        try {
            played.work = Files.createTempDirectory("review-2-");
            Runtime.getRuntime().addShutdownHook(new Thread(played::killHosts));
            Thread.ofPlatform().daemon().start(() -> played.endLate(folder));
            played.play();
            status = played.broken.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            played.say("the case could not run: " + e);
            status = 2;
        }
        played.finish(folder, status);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void say(String line) {
        String text = String.format("%7.3f s  %s", millis() / 1_000.0, line);
        record.add(text);
        System.out.println(text);
    }

    synchronized void broken(String what) {
        broken.add(what);
        say("BROKEN: " + what);
    }

    HostProcess startHost(String name, String zone, List<String> zones, Store store) throws IOException {
        HostProcess host = new HostProcess(name, zone, zones, store.address(), work);
        hosts.add(host);
        host.start();
        return host;
    }

    /** Waits until a host is ready; the case can't run if it isn't in time. */
    void awaitReady(HostProcess host) throws IOException, InterruptedException {
        if (!host.awaitReady(20_000)) {
            throw new IllegalStateException("a host did not become ready: " + host.state());
        }
    }

    void sleepUntil(long atMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, atMillis - millis()));
    }

    private void endLate(Path folder) {
        try {
            Thread.sleep(MAX_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        say("the case took too long");
        finish(folder, 2);
    }

    private void killHosts() {
        hosts.forEach(HostProcess::kill);
    }

    private synchronized void finish(Path folder, int status) {
        killHosts();
        say("result: " + (status == 0 ? "held" : status == 1 ? "broken" : "could not run"));
        try {
            Files.write(folder.resolve("record.txt"), record);
            if (System.getenv("KEEP") == null) {
                deleteWork();
            } else {
                System.out.println("logs are in " + work);
            }
        } catch (IOException e) {
            System.err.println("cannot write the record: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    private void deleteWork() throws IOException {
        try (var files = Files.list(work)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(work);
    }
}
