package org.amaranthlock.standin.soak;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.amaranthlock.standin.ChildProcess;
import org.amaranthlock.standin.fleet.FleetStoreMain;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.amaranthlock.standin.fleet.FleetWorkerMain;
import org.amaranthlock.standin.fleet.OperatorConfiguration;
import org.amaranthlock.standin.fleet.StoreClient;

/** Store, workers and entry hosts that run as processes, each behind its own proxy. */
final class SoakFleet implements AutoCloseable {
    private static final List<String> FAILURE_DOMAINS = List.of("north", "centre", "south");

    /** API key that {@link org.amaranthlock.standin.fleet.LoadClient} sends. */
    private static final String ACCOUNT_KEY = "key-1";

    /** Software versions of the engines, the first of which runs when the fleet starts. */
    static final List<String> ENGINE_VERSIONS = List.of(FleetWorker.FIRST_VERSION, "v2");

    private static final String ROLLOUTS = "rollouts";

    private static final Pattern LISTENING = Pattern.compile("^listening (\\S+)");
    private static final Pattern STARTED = Pattern.compile("event=started .*callers=(\\d+)");
    private static final Pattern TARGETS_KNOWN = Pattern.compile("event=(targets-listed|targets-received) ");

    private static final int CALL_TIMEOUT_MILLIS = 2_000;

    /** Time after which a process that was asked to stop is killed; the grace period of entry hosts is 8 s. */
    private static final long EXIT_TIMEOUT_MILLIS = 9_000;

    private final Path directory;
    private final List<String> jvmCommand;
    private final String entryClasspath;
    private final Optional<String> earlierEntryClasspath;
    private final List<Member> members = new ArrayList<>();
    private final List<Member> rolloutMembers = new ArrayList<>();
    private final List<Path> workerOutputs = new CopyOnWriteArrayList<>();
    private final List<Path> entryOutputs = new CopyOnWriteArrayList<>();
    private final FaultProxy storeProxy = new FaultProxy();
    private final ChildProcess store;
    private final StoreClient storeClient;
    private final OperatorConfiguration configuration;
    private volatile String engineVersion = ENGINE_VERSIONS.getFirst();
    private volatile boolean closed;

    /** Role of a member of the fleet. */
    enum Role {
        ENGINE,
        DESK,
        ENTRY
    }

    /** Member of the fleet, whose process is replaced by a new one at each restart. */
    final class Member {
        private final Role role;
        private final int index;
        private final FaultProxy proxy;

        /** Arguments of a worker that belongs to a roll-out; empty for others, whose version may change. */
        private final List<String> rolloutArguments;

        private ChildProcess process;
        private String workerId = "";
        private int startCount;

        private Member(Role role, int index) throws IOException {
            this(role, index, List.of());
        }

        private Member(Role role, int index, List<String> rolloutArguments) throws IOException {
            this.rolloutArguments = List.copyOf(rolloutArguments);
            this.role = role;
            this.index = index;
            this.proxy = new FaultProxy();
        }

        Role role() {
            return role;
        }

        FaultProxy proxy() {
            return proxy;
        }

        /**
         * Makes a worker name a request rate limit, or none, in its responses until it is restarted. Not synchronized,
         * because a paused worker does not answer until it is resumed, which needs the lock.
         */
        void nameRequestLimit(String value) throws IOException, InterruptedException {
            ChildProcess named;
            synchronized (this) {
                named = process;
            }
            String address = named.awaitOutput(LISTENING);
            int colon = address.lastIndexOf(':');
            try (Socket socket =
                    new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
                String call = "PUT " + FleetWorker.LIMIT_PATH + value + " HTTP/1.1\r\nHost: worker\r\n\r\n";
                socket.setSoTimeout(CALL_TIMEOUT_MILLIS);
                socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().read();
            }
        }

        synchronized void signal(String signal) throws IOException, InterruptedException {
            process.signal(signal);
        }

        /**
         * Stops the process and starts a new one.
         *
         * @param graceful whether to stop with SIGTERM instead of killing the process
         * @param downMillis time between the end of the process and the next start
         */
        synchronized void restart(boolean graceful, long downMillis) throws IOException, InterruptedException {
            if (graceful) {
                process.signal("TERM");
                process.awaitExit(EXIT_TIMEOUT_MILLIS);
            } else {
                process.kill();
            }
            proxy.upstream(null);
            proxy.resetAll();
            Thread.sleep(downMillis);
            // A killed worker does not remove its own registration.
            if (!workerId.isEmpty()) {
                storeClient.remove("servers", workerId);
            }
            if (!closed) {
                startProcess();
            }
        }

        /** While a fleet is upgraded, two hosts run the earlier build, then one, then two again. */
        private boolean startsEarlierBuild() {
            return earlierEntryClasspath.isPresent() && (startCount + index) % 2 == 0;
        }

        private void startProcess() throws IOException, InterruptedException {
            startCount++;
            if (role == Role.ENTRY) {
                Path settings = directory.resolve("entry-" + index + ".toml");
                Files.writeString(settings, settings(index));
                process = ChildProcess.start(
                        "entry-" + index,
                        directory,
                        command(
                                startsEarlierBuild() ? earlierEntryClasspath.orElseThrow() : entryClasspath,
                                "org.amaranthlock.entry.cli.EntryMain",
                                "serve",
                                "--settings",
                                settings.toString()));
                entryOutputs.add(process.output());
                String port = process.awaitOutput(STARTED);
                process.awaitOutput(TARGETS_KNOWN);
                proxy.upstream("127.0.0.1:" + port);
                return;
            }
            workerId = role.name().toLowerCase(Locale.ROOT) + "-" + index + "-" + startCount;
            List<String> arguments = new ArrayList<>(List.of(
                    "--id", workerId,
                    "--service", service(role),
                    "--zone", FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size()),
                    "--store", store.awaitOutput(LISTENING),
                    "--advertise", proxy.address()));
            if (role == Role.ENGINE) {
                arguments.add("--engine");
            }
            if (!rolloutArguments.isEmpty()) {
                arguments.addAll(rolloutArguments);
            } else if (role == Role.ENGINE) {
                arguments.addAll(List.of("--software-version", engineVersion));
            }
            process = ChildProcess.start(
                    workerId,
                    directory,
                    command(System.getProperty("java.class.path"), FleetWorkerMain.class.getName(), arguments));
            workerOutputs.add(process.output());
            proxy.upstream(process.awaitOutput(LISTENING));
        }
    }

    /**
     * Starts all processes.
     *
     * @param directory directory for settings and output files
     * @param entryClasspath class path of the entry daemon
     * @param earlierEntryClasspath class path of an earlier build, which hosts run at every other start
     */
    SoakFleet(Path directory, String entryClasspath, Optional<String> earlierEntryClasspath)
            throws IOException, InterruptedException {
        this.directory = directory;
        this.entryClasspath = entryClasspath;
        this.earlierEntryClasspath = earlierEntryClasspath;
        this.jvmCommand = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");
        String classpath = System.getProperty("java.class.path");
        store = ChildProcess.start("store", directory, command(classpath, FleetStoreMain.class.getName()));
        String address = store.awaitOutput(LISTENING);
        storeProxy.upstream(address);
        storeClient = new StoreClient(address);
        configuration = new OperatorConfiguration(storeClient);
        configuration.write(OperatorConfiguration.standard(1, ACCOUNT_KEY));
        for (int i = 0; i < FAILURE_DOMAINS.size(); i++) {
            members.add(new Member(Role.ENGINE, i));
            members.add(new Member(Role.DESK, i));
        }
        for (int i = 0; i < FAILURE_DOMAINS.size(); i++) {
            members.add(new Member(Role.ENTRY, i));
        }
        for (Member member : members) {
            member.startProcess();
        }
    }

    /** Returns the service that workers of a role belong to. */
    static String service(Role role) {
        return role == Role.ENGINE ? "engines" : "desks";
    }

    /** Orders a roll-out; returns once the store has acknowledged it. */
    void orderRollout(Role role, String version, int durationSeconds) throws IOException, InterruptedException {
        storeClient.put(
                ROLLOUTS,
                service(role),
                JsonNodeFactory.instance
                        .objectNode()
                        .put("service", service(role))
                        .put("to", version)
                        .put("duration_s", durationSeconds));
    }

    /** Returns the state of the roll-out of a service; empty before the hosts have seen the order. */
    String rolloutState(Role role) throws IOException, InterruptedException {
        return storeClient
                .findStatus(ROLLOUTS, service(role))
                .map(status -> status.path("state").asText())
                .orElse("");
    }

    /**
     * Starts workers beside the others, and returns their outputs.
     *
     * @param arguments their version and behaviour
     */
    List<Path> startRolloutWorkers(Role role, List<String> arguments) throws IOException, InterruptedException {
        int known = workerOutputs.size();
        for (int i = 0; i < FAILURE_DOMAINS.size(); i++) {
            Member added = new Member(role, FAILURE_DOMAINS.size() + i, arguments);
            rolloutMembers.add(added);
            added.startProcess();
        }
        return List.copyOf(workerOutputs.subList(known, workerOutputs.size()));
    }

    /** Sets the version that engines run from their next start on. */
    void engineVersion(String version) {
        engineVersion = version;
    }

    List<Member> members() {
        return members;
    }

    FaultProxy storeProxy() {
        return storeProxy;
    }

    /** Returns the addresses at which clients reach the entry hosts, which are those of their proxies. */
    List<String> entryAddresses() {
        return members.stream()
                .filter(member -> member.role == Role.ENTRY)
                .map(member -> member.proxy.address())
                .toList();
    }

    /** Writes the current configuration again under the next version. */
    void writeNewVersion() throws IOException, InterruptedException {
        configuration.write(configuration.nextVersion());
    }

    /** Returns whether hosts of two builds run side by side. */
    boolean mixesBuilds() {
        return earlierEntryClasspath.isPresent();
    }

    /** Returns the number of messages between entry hosts that their receivers could not read. */
    long unreadableMessages() throws IOException {
        long count = 0;
        for (Path output : entryOutputs) {
            count += Files.readAllLines(output).stream()
                    .filter(line -> line.contains("event=peer-frame-unreadable"))
                    .count();
        }
        return count;
    }

    /** Returns the outputs of all worker processes. */
    List<Path> workerOutputs() {
        return workerOutputs;
    }

    /** Returns the ids of the orders that workers executed, one entry per execution. */
    List<String> executedOrders() throws IOException {
        List<String> ids = new ArrayList<>();
        for (Path output : workerOutputs) {
            Files.readAllLines(output).stream()
                    .filter(line -> line.startsWith("run ") && line.contains(" POST /order/"))
                    .forEach(line -> ids.add(line.split(" ")[1]));
        }
        return ids;
    }

    @Override
    public void close() {
        closed = true;
        members.addAll(rolloutMembers);
        for (Member member : members) {
            synchronized (member) {
                member.process.kill();
                member.proxy.close();
            }
        }
        store.kill();
        storeProxy.close();
    }

    /** Deletes the directory with the files of a run. */
    static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private List<String> command(String classpath, String main, String... arguments) {
        return command(classpath, main, List.of(arguments));
    }

    private List<String> command(String classpath, String main, List<String> arguments) {
        List<String> command = new ArrayList<>(jvmCommand);
        command.addAll(List.of("-cp", classpath, main));
        command.addAll(arguments);
        return command;
    }

    private String settings(int index) {
        String domain = FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
        return """
                [host]
                name = "entry-%d"
                failure-domain = "%s"
                [listen]
                callers = "127.0.0.1:0"
                ready = "127.0.0.1:0"
                metrics = "127.0.0.1:0"
                peers = "127.0.0.1:0"
                [store]
                address = "%s"
                [bounds]
                exposure-share = %s
                exposure-slack = %s
                rollback-ms = %s
                """.formatted(
                        index,
                        domain,
                        storeProxy.address(),
                        RolloutCheck.EXPOSURE_SHARE,
                        RolloutCheck.EXPOSURE_SLACK,
                        RolloutCheck.ROLLBACK_MILLIS);
    }
}
