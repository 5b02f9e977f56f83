package org.amaranthlock.entry.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.model.AmaranthlockException;

/** Reads a settings file again when it changes, of which not every change is followed by a SIGHUP. */
public final class SettingsFileWatcher {
    private static final long CHECK_INTERVAL_MILLIS = 2_000;

    private final Path file;
    private final ScheduledExecutorService executor;
    private final Consumer<EntrySettings> listener;
    private final DecisionLog log;
    private long modifiedAtMillis;

    /**
     * Creates a watcher.
     *
     * @param listener receives valid settings on a thread of {@code executor}, also if they are unchanged
     */
    public SettingsFileWatcher(
            Path file, ScheduledExecutorService executor, Consumer<EntrySettings> listener, DecisionLog log) {
        this.file = Objects.requireNonNull(file, "file");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Starts to look for changes. */
    public void start() {
        modifiedAtMillis = lastModifiedMillis();
        executor.scheduleAtFixedRate(
                this::readIfModified, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Reads the file again; settings that are not valid leave the former ones in force. */
    public void reload() {
        executor.execute(this::read);
    }

    private void readIfModified() {
        long currentMillis = lastModifiedMillis();
        if (currentMillis != modifiedAtMillis) {
            modifiedAtMillis = currentMillis;
            read();
        }
    }

    private void read() {
        try {
            listener.accept(EntrySettingsReader.read(file));
        } catch (AmaranthlockException e) {
            log.write("reload-failed", "cause", e.getMessage());
        }
    }

    private long lastModifiedMillis() {
        try {
            return Files.getLastModifiedTime(file).toMillis();
        } catch (IOException e) {
            log.write("settings-unreadable", "file", file, "cause", e.getMessage());
            return -1;
        }
    }
}
