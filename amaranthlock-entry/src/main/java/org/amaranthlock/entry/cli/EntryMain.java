package org.amaranthlock.entry.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.amaranthlock.entry.EntryProcess;
import org.amaranthlock.entry.log.LogOutput;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.entry.settings.EntrySettingsReader;
import org.amaranthlock.model.AmaranthlockException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command-line entry point of the daemon. */
@Command(
        name = "amaranthlock-entry",
        mixinStandardHelpOptions = true,
        subcommands = {EntryMain.Serve.class, EntryMain.CheckConfig.class, CdsTrainingRun.class},
        description = "Forwards client requests to model engines and other services.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "2:wrong options or arguments",
            "3:the settings are invalid or the daemon cannot start"
        })
public final class EntryMain {
    private static final int STARTUP_FAILED = 3;

    private EntryMain() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        LogOutput.selectManager();
        System.exit(commandLine().execute(arguments));
    }

    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new EntryMain());
        commandLine.setExecutionExceptionHandler((error, failedCommand, parsed) -> {
            if (!(error instanceof AmaranthlockException)) {
                throw error;
            }
            failedCommand.getErr().println(error.getMessage());
            return STARTUP_FAILED;
        });
        return commandLine;
    }

    /** Serves requests until the process receives SIGTERM. */
    @Command(name = "serve", description = "Serves requests until SIGTERM.")
    static final class Serve implements Callable<Integer> {
        @Option(
                names = "--settings",
                description = "Settings file; default: the path in " + EntrySettingsReader.SETTINGS_PATH_VARIABLE)
        private Path file;

        @Override
        public Integer call() throws InterruptedException {
            LogOutput.configure();
            Path path = file != null ? file : defaultPath();
            EntrySettings settings = EntrySettingsReader.read(path);
            EntryProcess process = new EntryProcess(settings);
            Signals.onTerminate(process::drain);
            Signals.onHangUp(() -> process.reload(path));
            process.start();
            process.watchSettings(path);
            process.awaitTermination();
            return 0;
        }

        private static Path defaultPath() {
            String path = System.getenv(EntrySettingsReader.SETTINGS_PATH_VARIABLE);
            return Path.of(path != null ? path : "/etc/amaranthlock/settings.toml");
        }
    }

    /** Checks a settings file. */
    @Command(name = "check-config", description = "Checks a settings file.")
    static final class CheckConfig implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "Settings file.")
        private Path file;

        @Override
        public Integer call() {
            EntrySettings settings = EntrySettingsReader.read(file);
            System.out.println("The settings of " + settings.hostName() + " are valid.");
            return 0;
        }
    }
}
