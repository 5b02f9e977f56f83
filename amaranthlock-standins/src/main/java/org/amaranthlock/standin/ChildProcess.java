package org.amaranthlock.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Process started by a test program; signals go to its process id only. */
public final class ChildProcess {
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

    /** Starts a process that writes its output to a file of its own in {@code directory}. */
    public static ChildProcess start(String name, Path directory, List<String> command) throws IOException {
        return start(name, directory, command, Map.of());
    }

    /** Starts a process with variables added to its environment. */
    public static ChildProcess start(String name, Path directory, List<String> command, Map<String, String> environment)
            throws IOException {
        Path output = Files.createTempFile(directory, name + "-", ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
        builder.environment().putAll(environment);
        return new ChildProcess(name, output, builder.start());
    }

    /** Returns the processor time that the process has used, in milliseconds. */
    public long processorMillis() {
        return process.info()
                .totalCpuDuration()
                .orElseThrow(() -> new IllegalStateException(name + " has ended; see " + output))
                .toMillis();
    }

    /** Returns the file with the output of the process. */
    public Path output() {
        return output;
    }

    /**
     * Waits until a line of the output matches a pattern and returns the first group of the match.
     *
     * @throws IllegalStateException if the process ends or the start timeout expires before a line matches
     */
    public String awaitOutput(Pattern pattern) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (System.nanoTime() < deadlineNanos) {
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
        throw new IllegalStateException(
                name + " did not start: no line of its output matches \"" + pattern + "\"; see " + output);
    }

    /** Sends a signal, for example {@code STOP}; does nothing if the process has ended. */
    public void signal(String signal) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-s", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Kills the process and waits until it has ended. */
    public void kill() {
        process.destroyForcibly().onExit().join();
    }

    /** Waits for the process to exit and kills it if the timeout expires. */
    public void awaitExit(long timeoutMillis) throws InterruptedException {
        if (!process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }
}
