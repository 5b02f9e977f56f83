package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process that the soak started; it is signalled and ended by its id. */
final class ChildProcess {
    private static final long START_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final String name;
    private final Path output;
    private final Process process;

    private ChildProcess(String name, Path output, Process process) {
        this.name = name;
        this.output = output;
        this.process = process;
    }

    /** Starts a program whose output goes to a file of its own. */
    static ChildProcess start(String name, Path directory, List<String> command) throws IOException {
        Path output = Files.createTempFile(directory, name + "-", ".log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        return new ChildProcess(name, output, process);
    }

    Path output() {
        return output;
    }

    /** Waits until the output has a match of a pattern and returns its first group. */
    String awaitOutput(Pattern pattern) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (System.nanoTime() < end) {
            Optional<String> found = Files.readAllLines(output).stream()
                    .map(pattern::matcher)
                    .filter(Matcher::find)
                    .map(matcher -> matcher.group(1))
                    .findFirst();
            if (found.isPresent()) {
                return found.get();
            }
            if (!process.isAlive()) {
                break;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException(name + " did not start; see " + output);
    }

    /** Sends a signal, for example {@code STOP}. */
    void signal(String signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-s", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    void kill() {
        process.destroyForcibly().onExit().join();
    }

    /** Waits for the end, and kills the process if it does not come in time. */
    void awaitExit(long millis) throws InterruptedException {
        if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }
}
