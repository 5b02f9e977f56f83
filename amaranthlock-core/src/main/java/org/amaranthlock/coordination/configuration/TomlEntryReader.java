package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;

/** Reads the keys of a TOML text and collects all its errors. */
final class TomlEntryReader {
    private final TomlParseResult toml;
    private final List<String> errors = new ArrayList<>();
    private final Set<String> requestedKeys = new LinkedHashSet<>();

    TomlEntryReader(String text) {
        toml = Toml.parse(text);
        toml.errors()
                .forEach(error ->
                        errors.add("not valid TOML at line " + error.position().line() + ", column "
                                + error.position().column() + ": " + error.getMessage()));
    }

    /** Returns a text that must be present and not blank; a substitute if it is not. */
    String requiredString(String key) {
        Object value = read(key);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        errors.add(describeError(key, value, "set it to a non-blank text, for example " + key + " = \"...\""));
        return "invalid";
    }

    String optionalString(String key) {
        Object value = read(key);
        if (value != null && !(value instanceof String)) {
            errors.add(describeError(key, value, "set it to a text or remove it"));
        }
        return value instanceof String text ? text : "";
    }

    /** Returns a whole number within bounds; the lower bound if it is missing or wrong. */
    long longInRange(String key, long min, long max) {
        Object value = read(key);
        if (value instanceof Long number && number >= min && number <= max) {
            return number;
        }
        errors.add(describeError(key, value, "set it to a whole number from " + min + " to " + max));
        return min;
    }

    boolean booleanValue(String key) {
        Object value = read(key);
        if (value instanceof Boolean flag) {
            return flag;
        }
        errors.add(describeError(key, value, "set it to true or false"));
        return false;
    }

    /** Returns a number above zero. */
    double positiveDouble(String key) {
        Object value = read(key);
        if (value instanceof Number number && number.doubleValue() > 0 && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        errors.add(describeError(key, value, "set it to a number above 0"));
        return 1;
    }

    boolean has(String key) {
        return read(key) != null;
    }

    /** Returns the texts of an array; none if it is missing. */
    List<String> stringList(String key) {
        Object value = read(key);
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                texts.add(String.valueOf(element));
            }
        } else if (value != null) {
            errors.add(describeError(key, value, "set it to an array of texts or remove it"));
        }
        return texts;
    }

    void addError(String key, String remedy) {
        errors.add("key '" + key + "': " + remedy);
    }

    /** Returns all errors of the text, among them the keys that were never asked for. */
    List<String> errors() {
        List<String> all = new ArrayList<>(errors);
        for (String key : toml.keySet()) {
            if (!requestedKeys.contains(key)) {
                all.add("key '" + key + "' is unknown; remove it or use one of " + requestedKeys);
            }
        }
        return all;
    }

    /** Returns the syntax errors only; for entries whose keys other parts read. */
    List<String> syntaxErrors() {
        return List.copyOf(errors);
    }

    private Object read(String key) {
        requestedKeys.add(key);
        return toml.get(List.of(key));
    }

    private static String describeError(String key, Object value, String remedy) {
        String state = value == null ? "' is missing; " : "' has the wrong value " + value + "; ";
        return "key '" + key + state + remedy;
    }
}
