package org.amaranthlock.entry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthlock.coordination.forwarding.Mechanism;
import org.amaranthlock.coordination.forwarding.Mechanisms;
import org.amaranthlock.coordination.forwarding.RetryBudgetLimits;
import org.amaranthlock.coordination.rollout.ExposureBounds;
import org.amaranthlock.entry.front.ListeningSocket;
import org.amaranthlock.entry.settings.EntrySettings.Bounds;
import org.amaranthlock.entry.settings.EntrySettings.Regions;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;

/** Reads and validates a settings file. Unknown fields are ignored. */
public final class EntrySettingsReader {
    /** Environment variable with the path of the settings file. */
    public static final String SETTINGS_PATH_VARIABLE = "AMARANTHLOCK_SETTINGS";

    // Defaults for deployments whose settings omit a bound.
    private static final long DEFAULT_MAX_CONFIGURATION_AGE_MILLIS = 2_500;
    private static final long DEFAULT_MAX_REVOCATION_MILLIS = 5_000;
    private static final long DEFAULT_SHUTDOWN_GRACE_SECONDS = 8;

    private static final long DEFAULT_ROLLBACK_MILLIS = 5_000;
    private static final double DEFAULT_RETRIES_PER_REQUEST = 0.8;
    private static final double DEFAULT_RETRY_SLACK = 150;
    private static final long DEFAULT_RETRY_WINDOW_SECONDS = 10;

    private EntrySettingsReader() {}

    /**
     * Reads a file.
     *
     * @throws AmaranthlockException if the file cannot be read, or a field is missing or invalid
     */
    public static EntrySettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw invalidSettings(
                    "cannot read " + file + ": " + e.getMessage() + "; pass the path of a readable file", e);
        }
    }

    /**
     * Parses settings from TOML text.
     *
     * @throws AmaranthlockException if the text is not valid TOML, or a field is missing or invalid
     */
    public static EntrySettings parse(String text) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (IOException e) {
            throw invalidSettings("the settings are not valid TOML: " + e.getMessage(), e);
        }
        return new EntrySettings(
                requiredText(root, "host", "name"),
                new FailureDomain(requiredText(root, "host", "failure-domain")),
                address(root, "listen", "callers"),
                address(root, "listen", "ready"),
                address(root, "listen", "metrics"),
                address(root, "listen", "peers"),
                address(root, "store", "address"),
                new Bounds(
                        positiveLong(root, "bounds", "configuration-ms", DEFAULT_MAX_CONFIGURATION_AGE_MILLIS),
                        positiveLong(root, "bounds", "revocation-ms", DEFAULT_MAX_REVOCATION_MILLIS),
                        positiveLong(root, "bounds", "grace-s", DEFAULT_SHUTDOWN_GRACE_SECONDS) * 1_000,
                        new RetryBudgetLimits(
                                positiveDouble(root, "bounds", "repeats-per-request", DEFAULT_RETRIES_PER_REQUEST),
                                positiveDouble(root, "bounds", "repeats-slack", DEFAULT_RETRY_SLACK),
                                positiveLong(root, "bounds", "repeats-window-s", DEFAULT_RETRY_WINDOW_SECONDS) * 1_000),
                        exposure(root)),
                mechanisms(root),
                regions(root));
    }

    private static Regions regions(JsonNode root) {
        Map<FailureDomain, Region> byDomain = new HashMap<>();
        root.path("regions").properties().forEach(entry -> {
            String domain = entry.getKey();
            JsonNode region = entry.getValue();
            if (!region.isTextual() || region.asText().isBlank()) {
                throw invalidSettings(
                        "[regions] " + domain + " is " + region
                                + "; set the name of the region of this failure domain, or remove the line",
                        null);
            }
            byDomain.put(new FailureDomain(domain), new Region(region.asText()));
        });
        JsonNode mbps = root.path("forwarding").path("region-link-mbps");
        if (!mbps.isMissingNode() && (!mbps.isNumber() || mbps.asDouble() <= 0)) {
            throw invalidSettings(
                    "[forwarding] region-link-mbps is " + mbps + "; set the megabits per second that a link between two"
                            + " regions carries in each direction, or remove the line to have it learned",
                    null);
        }
        return new Regions(
                byDomain, mbps.isMissingNode() ? OptionalDouble.empty() : OptionalDouble.of(mbps.asDouble()));
    }

    /** Reads which mechanisms are switched off; mechanisms that are not named are used. */
    private static Mechanisms mechanisms(JsonNode root) {
        List<Mechanism> disabled = new ArrayList<>();
        JsonNode switches = root.path("forwarding").path("mechanisms");
        switches.properties().forEach(entry -> {
            Mechanism mechanism = mechanism(entry.getKey());
            if (!entry.getValue().isBoolean()) {
                throw invalidSettings(
                        "[forwarding.mechanisms] " + entry.getKey() + " must be true or false, not " + entry.getValue(),
                        null);
            }
            if (!entry.getValue().asBoolean()) {
                disabled.add(mechanism);
            }
        });
        return Mechanisms.allExcept(disabled);
    }

    private static Mechanism mechanism(String key) {
        return Mechanism.ofKey(key)
                .orElseThrow(() -> invalidSettings(
                        "[forwarding.mechanisms] " + key + " is unknown; use one of "
                                + Arrays.stream(Mechanism.values())
                                        .map(Mechanism::key)
                                        .toList(),
                        null));
    }

    /** Reads what a bad version may cost; roll-outs are on if the share is set. */
    private static Optional<ExposureBounds> exposure(JsonNode root) {
        if (root.path("bounds").path("exposure-share").isMissingNode()) {
            return Optional.empty();
        }
        double share = positiveDouble(root, "bounds", "exposure-share", 1);
        if (share > 1) {
            throw invalidSettings(
                    "[bounds] exposure-share is " + share + "; set the share of a service's requests that may reach a"
                            + " bad version, at most 1",
                    null);
        }
        JsonNode slack = root.path("bounds").path("exposure-slack");
        if (!slack.isMissingNode() && (!slack.isNumber() || slack.asDouble() < 0)) {
            throw invalidSettings(
                    "[bounds] exposure-slack is " + slack + "; set a number of requests, 0 or more", null);
        }
        return Optional.of(new ExposureBounds(
                share, slack.asLong(), positiveLong(root, "bounds", "rollback-ms", DEFAULT_ROLLBACK_MILLIS)));
    }

    private static String requiredText(JsonNode root, String section, String field) {
        JsonNode value = root.path(section).path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw invalidSettings("[" + section + "] " + field + " must be a non-empty string", null);
        }
        return value.asText();
    }

    private static long positiveLong(JsonNode root, String section, String field, long defaultValue) {
        return (long) positiveDouble(root, section, field, defaultValue);
    }

    private static double positiveDouble(JsonNode root, String section, String field, double defaultValue) {
        JsonNode value = root.path(section).path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() <= 0) {
            throw invalidSettings("[" + section + "] " + field + " must be a number greater than zero", null);
        }
        return value.asDouble();
    }

    private static InetSocketAddress address(JsonNode root, String section, String field) {
        String text = requiredText(root, section, field);
        try {
            return ListeningSocket.parseAddress(text);
        } catch (IllegalArgumentException e) {
            throw invalidSettings("[" + section + "] " + field + ": " + e.getMessage(), e);
        }
    }

    private static AmaranthlockException invalidSettings(String message, Exception cause) {
        return new AmaranthlockException(ErrorCode.INVALID_SETTINGS, message, cause);
    }
}
