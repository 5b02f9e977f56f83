package org.amaranthlock.router.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.amaranthlock.router.RouterProcess;
import org.amaranthlock.router.RouterProcessFactory;
import org.amaranthlock.router.log.LogSetup;
import org.amaranthlock.router.settings.RouterSettings;
import org.amaranthlock.router.settings.SettingsReader;
import org.jboss.logging.Logger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a router until its graceful shutdown is complete. */
@Command(name = "router", description = "Runs a router; SIGTERM starts the graceful shutdown.")
final class RouterCommand implements Callable<Integer> {
    /** Exceeds the decision core's drain timeout of 120 s by the time for the handover and the last outcome records. */
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 150;

    private final Supplier<RouterProcessFactory> processFactory;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings file in TOML.")
    private Path settingsFile;

    RouterCommand(Supplier<RouterProcessFactory> processFactory) {
        this.processFactory = processFactory;
    }

    @Override
    public Integer call() throws InterruptedException {
        RouterSettings settings = SettingsReader.read(settingsFile);
        LogSetup.configure(settings.log().json(), settings.log().level());
        RouterProcess process = processFactory.get().createProcess(settings, RouterCommand::haltProcess);
        CountDownLatch stopped = new CountDownLatch(1);
        process.start();
        Thread hook =
                Thread.ofPlatform().name("amaranthlock-shutdown").unstarted(() -> drainAndAwaitStop(process, stopped));
        Runtime.getRuntime().addShutdownHook(hook);
        process.awaitDrained();
        process.stop();
        LogSetup.close();
        stopped.countDown();
        return ExitCodes.OK;
    }

    private static void haltProcess() {
        LogSetup.close();
        // exit() would run the shutdown hook, which waits for a drain that the stopped control loop can't complete.
        Runtime.getRuntime().halt(ExitCodes.INTERNAL);
    }

    private static void drainAndAwaitStop(RouterProcess process, CountDownLatch stopped) {
        // The hook also runs when the process exits after a complete drain.
        if (stopped.getCount() == 0) {
            return;
        }
        process.drain();
        try {
            if (!stopped.await(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                Logger.getLogger(RouterCommand.class)
                        .errorf(
                                "The graceful shutdown took more than %d s; the process exits without completing it.",
                                SHUTDOWN_TIMEOUT_SECONDS);
                LogSetup.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
