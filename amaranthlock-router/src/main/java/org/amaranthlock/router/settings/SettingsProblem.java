package org.amaranthlock.router.settings;

import java.util.OptionalInt;

/**
 * One error in a settings file.
 *
 * @param file the file
 * @param line line number from 1, if known
 * @param key dotted key
 * @param remedy what is wrong and how to correct it
 */
public record SettingsProblem(String file, OptionalInt line, String key, String remedy) {
    @Override
    public String toString() {
        String place = line.isPresent() ? file + ":" + line.getAsInt() : file;
        return key.isEmpty() ? place + ": " + remedy : place + ": " + key + ": " + remedy;
    }
}
