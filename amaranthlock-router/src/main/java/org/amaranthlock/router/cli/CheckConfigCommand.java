package org.amaranthlock.router.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.amaranthlock.router.settings.SettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Validates a settings file without starting a router. */
@Command(name = "check-config", description = "Validates a settings file and lists all its errors.")
final class CheckConfigCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "Settings file in TOML.")
    private Path file;

    @Override
    public Integer call() {
        SettingsReader.read(file);
        spec.commandLine().getOut().println(file + ": valid");
        return ExitCodes.OK;
    }
}
