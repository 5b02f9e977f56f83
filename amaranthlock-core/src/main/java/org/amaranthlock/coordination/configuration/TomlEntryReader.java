package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;

/** Reads the keys of a TOML document and collects all errors. */
final class TomlEntryReader {
    private final TomlParseResult toml;
    private final List<String> errors = new ArrayList<>();
    private final Set<String> knownKeys = new LinkedHashSet<>();

    TomlEntryReader(String text) {
        toml = Toml.parse(text);
        toml.errors()
                .forEach(error ->
                        errors.add("invalid TOML at line " + error.position().line() + ", column "
                                + error.position().column() + ": " + error.getMessage()));
    }

    /** Returns a string that must be present and not blank; a placeholder if it is missing or invalid. */
    String requiredString(String key) {
        Object value = read(key);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        errors.add(describeError(key, value, "set it to a non-blank string, for example " + key + " = \"...\""));
        return "invalid";
    }

    /** Returns a string; empty if it is missing or invalid. */
    String optionalString(String key) {
        Object value = read(key);
        if (value != null && !(value instanceof String)) {
            errors.add(describeError(key, value, "set it to a string or remove it"));
        }
        return value instanceof String text ? text : "";
    }

    /** Returns an integer within bounds; the lower bound if it is missing or invalid. */
    long longInRange(String key, long min, long max) {
        Object value = read(key);
        if (value instanceof Long number && number >= min && number <= max) {
            return number;
        }
        errors.add(describeError(key, value, "set it to an integer from " + min + " to " + max));
        return min;
    }

    /** Returns a boolean; false if it is missing or invalid. */
    boolean booleanValue(String key) {
        Object value = read(key);
        if (value instanceof Boolean flag) {
            return flag;
        }
        errors.add(describeError(key, value, "set it to true or false"));
        return false;
    }

    /** Returns a finite number greater than 0; 1 if it is missing or invalid. */
    double positiveDouble(String key) {
        Object value = read(key);
        if (value instanceof Number number && number.doubleValue() > 0 && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        errors.add(describeError(key, value, "set it to a number greater than 0"));
        return 1;
    }

    boolean has(String key) {
        return read(key) != null;
    }

    /** Returns the elements of an array of strings; an empty list if it is missing or invalid. */
    List<String> stringList(String key) {
        Object value = read(key);
        List<String> strings = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                strings.add(String.valueOf(element));
            }
        } else if (value != null) {
            errors.add(describeError(key, value, "set it to an array of strings or remove it"));
        }
        return strings;
    }

    void addError(String key, String remedy) {
        errors.add("key '" + key + "': " + remedy);
    }

    /** Returns all errors, including an error for each key that no method has read. */
    List<String> errors() {
        List<String> all = new ArrayList<>(errors);
        for (String key : toml.keySet()) {
            if (!knownKeys.contains(key)) {
                all.add("key '" + key + "' is unknown; remove it or use one of " + knownKeys);
            }
        }
        return all;
    }

    /**
     * Returns the syntax errors, if called before any key is read. For entries whose keys other components read, use
     * this instead of {@link #errors}, which would report each of these keys as unknown.
     */
    List<String> syntaxErrors() {
        return List.copyOf(errors);
    }

    private Object read(String key) {
        knownKeys.add(key);
        return toml.get(List.of(key));
    }

    private static String describeError(String key, Object value, String remedy) {
        String state = value == null ? "' is missing; " : "' has the invalid value " + value + "; ";
        return "key '" + key + state + remedy;
    }
}
