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

/** Entry point of the program. */
@Command(
        name = "amaranthlock",
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        description = "Serves long generations on engines that can fail.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:the call was refused or its result is negative",
            "2:wrong options or arguments",
            "3:the settings or an input file are invalid",
            "4:another operator changed the entry first",
            "5:no router can be reached",
            "70:fault of the program"
        })
public final class Main implements Runnable {
    @Spec
    private CommandSpec spec;

    private Main() {}

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        LogSetup.selectManager();
        System.exit(commandLine(RouterProcessFactory::standard).execute(arguments));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Name a command; --help lists them.");
    }

    static CommandLine commandLine(Supplier<RouterProcessFactory> assembly) {
        CommandLine line = new CommandLine(new Main());
        line.addSubcommand(new RouterCommand(assembly));
        line.addSubcommand(new CheckConfigCommand());
        line.addSubcommand(new ConfigCommand());
        line.addSubcommand(new OperatorCommands.TargetsCommand());
        line.addSubcommand(new OperatorCommands.AccountCommand());
        line.addSubcommand(new OperatorCommands.TimelineCommand());
        line.addSubcommand(new OperatorCommands.DrainCommand());
        line.setExecutionExceptionHandler((error, failed, parsed) -> reportError(error, failed));
        return line;
    }

    private static int reportError(Exception error, CommandLine failed) {
        if (!(error instanceof AmaranthlockException known)) {
            failed.getErr().println("Fault of the program; report it with this trace.");
            error.printStackTrace(failed.getErr());
            return ExitCodes.INTERNAL;
        }
        failed.getErr().println(known.getMessage());
        return switch (known) {
            case CommandException failure -> failure.exitCode();
            case SettingsException _ -> ExitCodes.INVALID_INPUT;
            default -> ExitCodes.FAILED;
        };
    }
}
