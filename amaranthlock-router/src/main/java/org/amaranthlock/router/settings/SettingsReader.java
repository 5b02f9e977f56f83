package org.amaranthlock.router.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;
import org.amaranthlock.router.settings.RouterSettings.Host;
import org.amaranthlock.router.settings.RouterSettings.Log;
import org.amaranthlock.router.settings.RouterSettings.Peer;
import org.amaranthlock.router.settings.RouterSettings.Seed;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads settings from TOML and reports all errors at once. */
public final class SettingsReader {
    private static final Set<String> KEYS = Set.of(
            "host.name",
            "host.region",
            "host.failure-domain",
            "http.address",
            "peer.address",
            "peer.advertised",
            "peer.seeds",
            "peer.cluster-key",
            "platform.address",
            "log.format",
            "log.level",
            "random.seed");
    private static final String OPERATORS_TABLE = "admin.operators";
    private static final Set<String> TABLES =
            Set.of("host", "http", "peer", "platform", "admin", OPERATORS_TABLE, "log", "random");
    private static final Set<String> LOG_LEVELS = Set.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR");
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern SHA_256_PATTERN = Pattern.compile("[0-9a-f]{64}");
    // Peers authenticate with an HMAC under this key; a shorter key could be brute-forced from one recorded handshake.
    private static final int MIN_CLUSTER_KEY_CHARACTERS = 16;

    private final String file;
    private final TomlParseResult toml;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private SettingsReader(String file, TomlParseResult toml) {
        this.file = file;
        this.toml = toml;
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException with all errors of the file
     */
    public static RouterSettings read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new SettingsException(List.of(new SettingsProblem(
                    path.toString(),
                    OptionalInt.empty(),
                    "",
                    "the file can't be read (" + e.getClass().getSimpleName()
                            + "); check its path and its permissions")));
        }
        return parse(path.toString(), text);
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file file name for error messages
     * @param text content of the file, as TOML
     * @throws SettingsException with all errors of the text
     */
    public static RouterSettings parse(String file, String text) {
        SettingsReader reader = new SettingsReader(file, Toml.parse(text));
        return reader.toSettings();
    }

    private RouterSettings toSettings() {
        toml.errors()
                .forEach(error -> problems.add(new SettingsProblem(
                        file, OptionalInt.of(error.position().line()), "", "not valid TOML: " + error.getMessage())));
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        checkKeys();
        Host host = new Host(
                requiredName("host.name"),
                new Region(requiredName("host.region")),
                new FailureDomain(requiredName("host.failure-domain")));
        InetSocketAddress http = requiredAddress("http.address", true);
        Peer peer = peer();
        InetSocketAddress platform = requiredAddress("platform.address", false);
        Map<String, String> operators = operators();
        Log log = log();
        OptionalLong seed = randomSeed();
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return new RouterSettings(host, http, peer, platform, operators, log, seed);
    }

    private void checkKeys() {
        for (Map.Entry<String, Object> entry : toml.dottedEntrySet(true)) {
            String key = entry.getKey();
            boolean isTable = entry.getValue() instanceof TomlTable;
            boolean known =
                    isTable ? TABLES.contains(key) : KEYS.contains(key) || key.startsWith(OPERATORS_TABLE + ".");
            if (!known) {
                addProblem(key, "unknown key; remove it or correct its spelling");
            }
        }
    }

    private Peer peer() {
        InetSocketAddress address = requiredAddress("peer.address", true);
        Optional<String> advertised = Optional.empty();
        if (toml.contains("peer.advertised")) {
            advertised = Optional.of(AddressParser.format(requiredAddress("peer.advertised", false)));
        }
        String clusterKey = requiredText("peer.cluster-key");
        if (!clusterKey.isEmpty() && clusterKey.length() < MIN_CLUSTER_KEY_CHARACTERS) {
            addProblem(
                    "peer.cluster-key",
                    "shorter than " + MIN_CLUSTER_KEY_CHARACTERS
                            + " characters; use a random secret, the same on all routers");
        }
        return new Peer(address, advertised, seeds(), clusterKey);
    }

    private List<Seed> seeds() {
        List<Seed> seeds = new ArrayList<>();
        Object value = valueOf("peer.seeds");
        if (value == null) {
            return seeds;
        }
        if (!(value instanceof TomlArray array)) {
            addProblem("peer.seeds", "must be a list such as [\"router-2@10.0.0.2:7400\"]");
            return seeds;
        }
        for (Object item : array.toList()) {
            String text = item.toString();
            int at = text.indexOf('@');
            Optional<InetSocketAddress> address = AddressParser.parse(text.substring(at + 1), false);
            if (at < 1 || !NAME_PATTERN.matcher(text.substring(0, at)).matches() || address.isEmpty()) {
                addProblem("peer.seeds", "'" + text + "' is not '<name>@<IP address>:<port>'");
            } else {
                seeds.add(new Seed(text.substring(0, at), AddressParser.format(address.get())));
            }
        }
        return seeds;
    }

    private Map<String, String> operators() {
        Map<String, String> operators = new LinkedHashMap<>();
        Object value = valueOf(OPERATORS_TABLE);
        if (!(value instanceof TomlTable table)) {
            addProblem(OPERATORS_TABLE, "must be a table that maps operator names to the SHA-256 hashes of their keys");
            return operators;
        }
        for (Map.Entry<String, Object> entry : table.entrySet()) {
            String hash = entry.getValue().toString();
            if (SHA_256_PATTERN.matcher(hash).matches()) {
                operators.put(entry.getKey(), hash);
            } else {
                addProblem(
                        OPERATORS_TABLE + "." + entry.getKey(),
                        "must be the SHA-256 hash of the key, 64 digits 0-9 a-f; 'printf %s KEY | sha256sum' prints it");
            }
        }
        if (table.isEmpty()) {
            addProblem(OPERATORS_TABLE, "is empty, so no operator could use this router's admin API; add an operator");
        }
        return operators;
    }

    private Log log() {
        String format = optionalText("log.format").orElse("text");
        if (!format.equals("text") && !format.equals("json")) {
            addProblem("log.format", "'" + format + "' is unknown; use \"text\" or \"json\"");
        }
        String level = optionalText("log.level").orElse("INFO");
        if (!LOG_LEVELS.contains(level)) {
            addProblem("log.level", "'" + level + "' is unknown; use TRACE, DEBUG, INFO, WARN or ERROR");
        }
        return new Log(format.equals("json"), level);
    }

    private OptionalLong randomSeed() {
        Object value = valueOf("random.seed");
        if (value == null) {
            return OptionalLong.empty();
        }
        if (value instanceof Long seed) {
            return OptionalLong.of(seed);
        }
        addProblem("random.seed", "must be an integer");
        return OptionalLong.empty();
    }

    /**
     * Returns a name; records an error if it is missing or invalid.
     *
     * <p>The value returned after an error is never used, but lets the reader find the remaining errors.
     */
    private String requiredName(String key) {
        String text = requiredText(key);
        if (!text.isEmpty() && !NAME_PATTERN.matcher(text).matches()) {
            addProblem(key, "'" + text + "' must consist of 1 to 64 of the characters A-Z a-z 0-9 . _ -");
        }
        return text.isBlank() ? "missing" : text;
    }

    private InetSocketAddress requiredAddress(String key, boolean allowPortZero) {
        String text = requiredText(key);
        if (text.isEmpty()) {
            return new InetSocketAddress(0);
        }
        return AddressParser.parse(text, allowPortZero).orElseGet(() -> {
            addProblem(
                    key,
                    "'" + text + "' is not an IP address and a port, for example \"10.0.0.1:7400\"; host names are not "
                            + "resolved");
            return new InetSocketAddress(0);
        });
    }

    private String requiredText(String key) {
        Optional<String> text = optionalText(key);
        if (text.isEmpty() && valueOf(key) == null) {
            addProblem(key, "is missing; add it");
        }
        return text.orElse("");
    }

    private Optional<String> optionalText(String key) {
        Object value = valueOf(key);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof String text && !text.isBlank()) {
            return Optional.of(text);
        }
        addProblem(key, "must be a non-empty string");
        return Optional.empty();
    }

    /** Returns the value of a dotted key; null if it is absent or if a parent key is not a table. */
    private Object valueOf(String key) {
        TomlTable table = toml;
        String[] parts = key.split("\\.");
        for (int i = 0; i < parts.length - 1; i++) {
            if (!(table.get(List.of(parts[i])) instanceof TomlTable inner)) {
                return null;
            }
            table = inner;
        }
        return table.get(List.of(parts[parts.length - 1]));
    }

    private void addProblem(String key, String message) {
        problems.add(new SettingsProblem(file, lineOf(key), key, message));
    }

    private OptionalInt lineOf(String key) {
        try {
            var position = toml.inputPositionOf(key);
            return position == null ? OptionalInt.empty() : OptionalInt.of(position.line());
        } catch (IllegalArgumentException e) {
            return OptionalInt.empty();
        }
    }
}
