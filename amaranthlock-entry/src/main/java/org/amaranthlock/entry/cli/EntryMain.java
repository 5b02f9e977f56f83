package org.amaranthlock.entry.cli;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.amaranthlock.entry.EntryProcess;
import org.amaranthlock.entry.front.ListeningSocket;
import org.amaranthlock.entry.log.LogOutput;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.entry.settings.EntrySettingsReader;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
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
    private static final String SERVE = "serve";
    private static final String LISTEN_OPTION = "--listen";

    private EntryMain() {}

    /**
     * Runs a command and exits with its exit code.
     *
     * <p>{@code serve --listen IP:PORT} without further options is how hosts are started in production. It skips the
     * command-line parser, which takes as long to load as the rest of the daemon, and opens the client address first.
     */
    public static void main(String[] arguments) {
        boolean shortForm = arguments.length == 3 && arguments[0].equals(SERVE) && arguments[1].equals(LISTEN_OPTION);
        System.exit(shortForm ? serveOn(arguments[2]) : runCommand(arguments));
    }

    private static int serveOn(String clientAddress) {
        try {
            ServerSocketChannel clientSocket = ListeningSocket.bind(ListeningSocket.parseAddress(clientAddress));
            LogOutput.selectManager();
            return Serve.run(Serve.defaultPath(), Optional.of(clientSocket));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(Serve.cannotListen(clientAddress, e));
            return STARTUP_FAILED;
        } catch (AmaranthlockException e) {
            System.err.println(e.getMessage());
            return STARTUP_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return STARTUP_FAILED;
        }
    }

    private static int runCommand(String[] arguments) {
        LogOutput.selectManager();
        return commandLine().execute(arguments);
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
    @Command(name = SERVE, description = "Serves requests until SIGTERM.")
    static final class Serve implements Callable<Integer> {
        @Option(
                names = "--settings",
                description = "Settings file; default: the path in " + EntrySettingsReader.SETTINGS_PATH_VARIABLE)
        private Path file;

        @Option(
                names = LISTEN_OPTION,
                paramLabel = "IP:PORT",
                description = "Client address, opened before the settings are read; they must name the same one")
        private String clientAddress;

        @Override
        public Integer call() throws InterruptedException {
            Optional<ServerSocketChannel> clientSocket =
                    Optional.ofNullable(clientAddress).map(Serve::listen);
            return run(file != null ? file : defaultPath(), clientSocket);
        }

        private static int run(Path path, Optional<ServerSocketChannel> clientSocket) throws InterruptedException {
            LogOutput.configure();
            EntrySettings settings = EntrySettingsReader.read(path);
            EntryProcess process = new EntryProcess(settings, clientSocket);
            Signals.onTerminate(process::drain);
            Signals.onHangUp(process.watchSettings(path));
            process.start();
            process.awaitTermination();
            return 0;
        }

        private static ServerSocketChannel listen(String clientAddress) {
            try {
                return ListeningSocket.bind(ListeningSocket.parseAddress(clientAddress));
            } catch (IOException | IllegalArgumentException e) {
                throw new AmaranthlockException(ErrorCode.INVALID_SETTINGS, cannotListen(clientAddress, e), e);
            }
        }

        private static String cannotListen(String clientAddress, Exception cause) {
            return "cannot listen on " + clientAddress + ": " + cause.getMessage()
                    + "; pass a free address of this host with " + LISTEN_OPTION;
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
