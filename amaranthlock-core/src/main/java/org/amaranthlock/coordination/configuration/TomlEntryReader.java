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
    private final Set<String> known = new LinkedHashSet<>();

    TomlEntryReader(String text) {
        toml = Toml.parse(text);
        toml.errors()
                .forEach(error ->
                        errors.add("not valid TOML at line " + error.position().line() + ", column "
                                + error.position().column() + ": " + error.getMessage()));
    }

    /** Returns a text that must be present and not blank; a substitute if it is not. */
    String text(String key) {
        Object value = value(key);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        errors.add(problem(key, value, "set it to a non-blank text, for example " + key + " = \"...\""));
        return "invalid";
    }

    String optionalText(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof String)) {
            errors.add(problem(key, value, "set it to a text or remove it"));
        }
        return value instanceof String text ? text : "";
    }

    /** Returns a whole number within bounds; the lower bound if it is missing or wrong. */
    long longValue(String key, long min, long max) {
        Object value = value(key);
        if (value instanceof Long number && number >= min && number <= max) {
            return number;
        }
        errors.add(problem(key, value, "set it to a whole number from " + min + " to " + max));
        return min;
    }

    boolean booleanValue(String key) {
        Object value = value(key);
        if (value instanceof Boolean flag) {
            return flag;
        }
        errors.add(problem(key, value, "set it to true or false"));
        return false;
    }

    /** Returns a number above zero. */
    double positiveDouble(String key) {
        Object value = value(key);
        if (value instanceof Number number && number.doubleValue() > 0 && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        errors.add(problem(key, value, "set it to a number above 0"));
        return 1;
    }

    boolean has(String key) {
        return value(key) != null;
    }

    /** Returns the texts of an array; none if it is missing. */
    List<String> textList(String key) {
        Object value = value(key);
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                texts.add(String.valueOf(element));
            }
        } else if (value != null) {
            errors.add(problem(key, value, "set it to an array of texts or remove it"));
        }
        return texts;
    }

    void error(String key, String remedy) {
        errors.add("key '" + key + "': " + remedy);
    }

    /** Returns all errors of the text, among them the keys that were never asked for. */
    List<String> errors() {
        List<String> all = new ArrayList<>(errors);
        for (String key : toml.keySet()) {
            if (!known.contains(key)) {
                all.add("key '" + key + "' is unknown; remove it or use one of " + known);
            }
        }
        return all;
    }

    /** Returns the syntax errors only; for entries whose keys other parts read. */
    List<String> syntaxErrors() {
        return List.copyOf(errors);
    }

    private Object value(String key) {
        known.add(key);
        return toml.get(List.of(key));
    }

    private static String problem(String key, Object value, String remedy) {
        String state = value == null ? "' is missing; " : "' has the wrong value " + value + "; ";
        return "key '" + key + state + remedy;
    }
}
