package org.amaranthlock.router.cli;

import java.util.function.Supplier;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.router.RouterProcessFactory;
import org.amaranthlock.router.log.LogSetup;
import org.amaranthlock.router.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Entry point of the command line, which defines the commands and maps exceptions to exit codes. */
@Command(
        name = "amaranthlock",
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        description = "Routes long generation requests to engines and resumes them after failures.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:the call was rejected or failed",
            "2:wrong options or arguments",
            "3:the settings or an input file are invalid",
            "4:another operator changed the entry first",
            "5:no router or host is reachable",
            "70:internal error"
        })
public final class Main implements Runnable {
    @Spec
    private CommandSpec spec;

    private Main() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] arguments) {
        LogSetup.selectManager();
        System.exit(commandLine(RouterProcessFactory::standard).execute(arguments));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Specify a command; --help lists the commands.");
    }

    static CommandLine commandLine(Supplier<RouterProcessFactory> processFactory) {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.addSubcommand(new RouterCommand(processFactory));
        commandLine.addSubcommand(new CheckConfigCommand());
        commandLine.addSubcommand(new ConfigCommand());
        commandLine.addSubcommand(new OperatorCommands.TargetsCommand());
        commandLine.addSubcommand(new OperatorCommands.AccountCommand());
        commandLine.addSubcommand(new OperatorCommands.TimelineCommand());
        commandLine.addSubcommand(new OperatorCommands.DrainCommand());
        commandLine.addSubcommand(new ExplainCommand());
        commandLine.setExecutionExceptionHandler((error, command, parseResult) -> reportError(error, command));
        return commandLine;
    }

    private static int reportError(Exception error, CommandLine command) {
        if (!(error instanceof AmaranthlockException known)) {
            command.getErr().println("Internal error; report it with this stack trace.");
            error.printStackTrace(command.getErr());
            return ExitCodes.INTERNAL;
        }
        command.getErr().println(known.getMessage());
        return switch (known) {
            case CommandException failure -> failure.exitCode();
            case SettingsException _ -> ExitCodes.INVALID_INPUT;
            default -> ExitCodes.FAILED;
        };
    }
}
