package org.amaranthlock.entry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.entry.settings.EntrySettings.Bounds;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.FailureDomain;

/** Reads and checks a settings file. Fields that are not known are ignored. */
public final class EntrySettingsReader {
    /** Environment variable with the path of the settings file. */
    public static final String SETTINGS_PATH_VARIABLE = "AMARANTHLOCK_SETTINGS";

    // Bounds of deployments that do not state them.
    private static final long CONFIGURATION_MILLIS = 2_500;
    private static final long REVOCATION_MILLIS = 5_000;
    private static final long GRACE_SECONDS = 8;

    private static final double REPEATS_PER_REQUEST = 0.8;
    private static final double REPEATS_SLACK = 150;
    private static final long REPEATS_WINDOW_SECONDS = 10;

    private EntrySettingsReader() {}

    /**
     * Reads a file.
     *
     * @throws AmaranthlockException if the file cannot be read, or a field is missing or wrong
     */
    public static EntrySettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw invalid("cannot read " + file + ": " + e.getMessage() + "; pass the path of a readable file", e);
        }
    }

    /**
     * Reads settings from their text.
     *
     * @throws AmaranthlockException if the text is not TOML, or a field is missing or wrong
     */
    public static EntrySettings parse(String text) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (IOException e) {
            throw invalid("the settings are not valid TOML: " + e.getMessage(), e);
        }
        return new EntrySettings(
                text(root, "host", "name"),
                new FailureDomain(text(root, "host", "failure-domain")),
                address(root, "listen", "callers"),
                address(root, "listen", "ready"),
                address(root, "listen", "metrics"),
                address(root, "listen", "peers"),
                address(root, "store", "address"),
                new Bounds(
                        positive(root, "bounds", "configuration-ms", CONFIGURATION_MILLIS),
                        positive(root, "bounds", "revocation-ms", REVOCATION_MILLIS),
                        positive(root, "bounds", "grace-s", GRACE_SECONDS) * 1_000,
                        new RetryBudgetLimits(
                                positiveReal(root, "bounds", "repeats-per-request", REPEATS_PER_REQUEST),
                                positiveReal(root, "bounds", "repeats-slack", REPEATS_SLACK),
                                positive(root, "bounds", "repeats-window-s", REPEATS_WINDOW_SECONDS) * 1_000)));
    }

    private static String text(JsonNode root, String section, String field) {
        JsonNode value = root.path(section).path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw invalid("[" + section + "] " + field + " must be a text that is not empty", null);
        }
        return value.asText();
    }

    private static long positive(JsonNode root, String section, String field, long standard) {
        return (long) positiveReal(root, section, field, standard);
    }

    private static double positiveReal(JsonNode root, String section, String field, double standard) {
        JsonNode value = root.path(section).path(field);
        if (value.isMissingNode()) {
            return standard;
        }
        if (!value.isNumber() || value.asDouble() <= 0) {
            throw invalid("[" + section + "] " + field + " must be a number above zero", null);
        }
        return value.asDouble();
    }

    private static InetSocketAddress address(JsonNode root, String section, String field) {
        String text = text(root, section, field);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, Math.max(0, colon))), port);
        } catch (IllegalArgumentException | UnknownHostException e) {
            throw invalid("[" + section + "] " + field + " must be IP:PORT, not \"" + text + "\"", e);
        }
    }

    private static AmaranthlockException invalid(String message, Exception cause) {
        return new AmaranthlockException(ErrorCode.INVALID_SETTINGS, message, cause);
    }
}
