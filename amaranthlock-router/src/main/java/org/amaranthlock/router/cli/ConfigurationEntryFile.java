package org.amaranthlock.router.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.model.ErrorCode;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads files of configuration entries, which hold one TOML table {@code [kind.name]} per entry. */
final class ConfigurationEntryFile {
    /** Kinds of entries in the order in which they are applied: referenced kinds come first. */
    static final List<String> KINDS = List.of("profile", "model", "routing", "service", "account", "target");

    private ConfigurationEntryFile() {}

    /**
     * Configuration entry of a file.
     *
     * @param kind kind of the entry
     * @param name name of the entry
     * @param text value of the entry, as TOML
     */
    record Entry(String kind, String name, String text) {
        String path() {
            return "/admin/config/" + kind + "/" + name;
        }

        String label() {
            return kind + "/" + name;
        }
    }

    /**
     * Reads the entries of a file in the order in which they are applied.
     *
     * @throws CommandException with a message that lists all errors of the file
     */
    static List<Entry> read(Path file) {
        String text = readText(file);
        TomlParseResult toml = Toml.parse(text);
        List<String> errors = new ArrayList<>();
        toml.errors().forEach(error -> errors.add(file + ":" + error.position().line() + ": " + error.getMessage()));
        List<Entry> entries = new ArrayList<>();
        if (errors.isEmpty()) {
            for (String kind : toml.keySet()) {
                if (!KINDS.contains(kind)) {
                    errors.add(file + ": unknown kind '" + kind + "'; use one of " + String.join(", ", KINDS));
                }
            }
            KINDS.forEach(kind -> collectEntries(file, kind, toml.get(List.of(kind)), entries, errors));
        }
        if (!errors.isEmpty()) {
            throw new CommandException(ExitCodes.INVALID_INPUT, ErrorCode.INVALID_SETTINGS, String.join("\n", errors));
        }
        return entries;
    }

    /** Returns the content of a text file. */
    static String readText(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new CommandException(
                    ExitCodes.INVALID_INPUT,
                    ErrorCode.INVALID_SETTINGS,
                    file + ": the file can't be read; check its path and its permissions.");
        }
    }

    /** Returns whether two texts represent the same TOML value, regardless of their formatting. */
    static boolean isSameToml(String first, String second) {
        TomlParseResult left = Toml.parse(first);
        TomlParseResult right = Toml.parse(second);
        return !left.hasErrors() && !right.hasErrors() && Toml.equals(left, right);
    }

    private static void collectEntries(Path file, String kind, Object value, List<Entry> entries, List<String> errors) {
        if (value == null) {
            return;
        }
        if (!(value instanceof TomlTable table)) {
            errors.add(file + ": " + kind + " must contain tables such as [" + kind + ".name]");
            return;
        }
        for (var entry : table.entrySet()) {
            if (entry.getValue() instanceof TomlTable fields) {
                entries.add(new Entry(kind, entry.getKey(), fields.toToml()));
            } else {
                errors.add(file + ": " + kind + "." + entry.getKey() + " must be a table [" + kind + "."
                        + entry.getKey() + "]");
            }
        }
    }
}
