package org.amaranthlock.router.settings;

import java.util.OptionalInt;

/**
 * Error in a settings file.
 *
 * @param file name of the file
 * @param line line number, starting at 1, if known
 * @param key dotted TOML key, empty if the error concerns the whole file
 * @param message the error and how to correct it
 */
public record SettingsProblem(String file, OptionalInt line, String key, String message) {
    @Override
    public String toString() {
        String location = line.isPresent() ? file + ":" + line.getAsInt() : file;
        return key.isEmpty() ? location + ": " + message : location + ": " + key + ": " + message;
    }
}
