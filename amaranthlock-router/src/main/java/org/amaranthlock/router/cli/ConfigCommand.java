package org.amaranthlock.router.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthlock.model.ErrorCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reads and changes configuration entries through the admin API. */
@Command(name = "config", description = "Reads and changes the configuration entries.")
final class ConfigCommand {
    private static final String CONFIG_PATH = "/admin/config";

    @Spec
    private CommandSpec spec;

    @Command(name = "get", description = "Shows one entry, the entries of a kind, or all entries.")
    int get(
            @Mixin AdminOptions options,
            @Parameters(arity = "0..1", paramLabel = "KIND", defaultValue = "") String kind,
            @Parameters(arity = "0..1", paramLabel = "NAME", defaultValue = "") String name) {
        AdminClient client = options.client();
        if (!name.isEmpty()) {
            print(requireEntry(client, kind, name));
            return ExitCodes.OK;
        }
        for (JsonNode entry : client.get(kind.isEmpty() ? CONFIG_PATH : CONFIG_PATH + "/" + kind)) {
            if (entry.hasNonNull("text")) {
                print(entry);
            }
        }
        return ExitCodes.OK;
    }

    @Command(name = "put", description = "Writes one entry from a TOML file.")
    int put(
            @Mixin AdminOptions options,
            @Parameters(paramLabel = "KIND") String kind,
            @Parameters(paramLabel = "NAME") String name,
            @Parameters(paramLabel = "FILE") Path file,
            @Option(
                            names = "--revision",
                            required = true,
                            description = "Revision printed by 'config get'; 0 creates the entry.")
                    long revision) {
        JsonNode entry = options.client().put(apiPath(kind, name), ConfigurationEntryFile.readText(file), revision);
        out().println(kind + "/" + name + " has revision "
                + entry.path("revision").asLong());
        return ExitCodes.OK;
    }

    @Command(name = "delete", description = "Deletes one entry.")
    int delete(
            @Mixin AdminOptions options,
            @Parameters(paramLabel = "KIND") String kind,
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--revision", required = true, description = "Revision printed by 'config get'.")
                    long revision) {
        if (revision < 1) {
            throw new CommandException(
                    ExitCodes.USAGE,
                    ErrorCode.INVALID_REQUEST,
                    "--revision must be the revision printed by 'config get', at least 1.");
        }
        options.client().delete(apiPath(kind, name), revision);
        out().println(kind + "/" + name + " is deleted");
        return ExitCodes.OK;
    }

    @Command(name = "history", description = "Shows all retained versions of one entry, newest first.")
    int history(
            @Mixin AdminOptions options,
            @Parameters(paramLabel = "KIND") String kind,
            @Parameters(paramLabel = "NAME") String name) {
        JsonNode entry = requireEntry(options.client(), kind, name);
        print(entry);
        for (JsonNode version : entry.path("history")) {
            printVersion(kind + "/" + name, version);
        }
        return ExitCodes.OK;
    }

    @Command(name = "diff", description = "Shows what 'config apply' would change.")
    int diff(@Mixin AdminOptions options, @Parameters(paramLabel = "FILE") Path file) {
        Map<String, JsonNode> current = currentEntries(options.client());
        int changes = 0;
        for (ConfigurationEntryFile.Entry entry : ConfigurationEntryFile.read(file)) {
            Optional<String> text = tomlText(current.get(entry.label()));
            if (text.isPresent() && ConfigurationEntryFile.isSameToml(text.get(), entry.text())) {
                continue;
            }
            changes++;
            out().println((text.isPresent() ? "change " : "create ") + entry.label());
            text.ifPresent(old -> old.lines().forEach(line -> out().println("- " + line)));
            entry.text().lines().forEach(line -> out().println("+ " + line));
        }
        out().println(changes + " entries differ");
        return ExitCodes.OK;
    }

    @Command(
            name = "apply",
            description = "Creates or updates the entries of a file that differ from the configuration.")
    int apply(@Mixin AdminOptions options, @Parameters(paramLabel = "FILE") Path file) {
        List<ConfigurationEntryFile.Entry> entries = ConfigurationEntryFile.read(file);
        AdminClient client = options.client();
        Map<String, JsonNode> current = currentEntries(client);
        int changes = 0;
        for (ConfigurationEntryFile.Entry entry : entries) {
            JsonNode old = current.get(entry.label());
            Optional<String> text = tomlText(old);
            if (text.isPresent() && ConfigurationEntryFile.isSameToml(text.get(), entry.text())) {
                continue;
            }
            long revision = text.isPresent() ? old.path("revision").asLong() : 0;
            JsonNode written = client.put(entry.path(), entry.text(), revision);
            changes++;
            out().println(entry.label() + " has revision "
                    + written.path("revision").asLong());
        }
        out().println(changes + " of " + entries.size() + " entries changed");
        return ExitCodes.OK;
    }

    private static Map<String, JsonNode> currentEntries(AdminClient client) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        for (JsonNode entry : client.get(CONFIG_PATH)) {
            entries.put(entry.path("kind").asText() + "/" + entry.path("name").asText(), entry);
        }
        return entries;
    }

    private static JsonNode requireEntry(AdminClient client, String kind, String name) {
        return client.find(apiPath(kind, name))
                .orElseThrow(() -> new CommandException(
                        ExitCodes.FAILED,
                        ErrorCode.UNKNOWN_REQUEST,
                        "There is no entry " + kind + "/" + name + "; 'config get' lists the entries."));
    }

    /** Returns the TOML text of an entry; empty if it does not exist or is deleted. */
    private static Optional<String> tomlText(JsonNode entry) {
        return entry != null && entry.hasNonNull("text")
                ? Optional.of(entry.get("text").asText())
                : Optional.empty();
    }

    private static String apiPath(String kind, String name) {
        return CONFIG_PATH + "/" + kind + "/" + name;
    }

    private void print(JsonNode entry) {
        printVersion(entry.path("kind").asText() + "/" + entry.path("name").asText(), entry);
    }

    private void printVersion(String label, JsonNode version) {
        out().println("# " + label + " revision " + version.path("revision").asLong() + " by "
                + version.path("author").asText() + (version.hasNonNull("text") ? "" : " (deleted)"));
        tomlText(version).ifPresent(text -> out().println(text.strip()));
        out().println();
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }
}
