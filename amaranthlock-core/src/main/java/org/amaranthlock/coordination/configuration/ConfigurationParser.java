package org.amaranthlock.coordination.configuration;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Pattern;
import org.amaranthlock.coordination.configuration.ParsedEntry.AccountValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.OpaqueValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.ProfileValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.ServiceValue;
import org.amaranthlock.coordination.configuration.ParsedEntry.TargetValue;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Profile;
import org.amaranthlock.model.ProfileKind;
import org.amaranthlock.model.Region;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/** Parses and validates the text of configuration entries. */
public final class ConfigurationParser {
    /** Supported kinds of entries. */
    public static final List<String> KINDS = List.of("profile", "service", "account", "target", "model", "routing");

    /**
     * Maximum length of the text of an entry, in characters. A platform object holds 11 versions of the text, the
     * current one and 10 previous ones, which stay far below the size limit of 1 MB for a platform object.
     */
    public static final int MAX_TEXT_LENGTH = 16_384;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern ADDRESS = Pattern.compile("(\\S+):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_PRIORITY = 1_000;
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;
    private static final int MAX_SLOTS = 100_000;

    private ConfigurationParser() {}

    /**
     * Parses an entry.
     *
     * @throws AmaranthlockException with {@link ErrorCode#INVALID_REQUEST} if the entry is invalid; the message lists
     *     all errors of the text with their key and remedy
     */
    public static ParsedEntry parse(String kind, String name, String text) {
        requireValidName(kind, name);
        if (text.length() > MAX_TEXT_LENGTH) {
            throw invalid(
                    kind, name, List.of("the text is longer than " + MAX_TEXT_LENGTH + " characters; shorten it"));
        }
        TomlEntryReader reader = new TomlEntryReader(text);
        if (!reader.syntaxErrors().isEmpty()) {
            throw invalid(kind, name, reader.syntaxErrors());
        }
        ParsedEntry entry = switch (kind) {
            case "profile" -> parseProfile(name, reader);
            case "service" -> parseService(name, reader);
            case "account" -> parseAccount(name, reader);
            case "target" -> parseTarget(name, reader);
            default -> new OpaqueValue(text);
        };
        List<String> errors = entry instanceof OpaqueValue ? reader.syntaxErrors() : reader.errors();
        if (!errors.isEmpty()) {
            throw invalid(kind, name, errors);
        }
        return entry;
    }

    /**
     * Checks the kind and the name of an entry.
     *
     * @throws AmaranthlockException with {@link ErrorCode#INVALID_REQUEST} if the kind or the name is invalid
     */
    public static void requireValidName(String kind, String name) {
        if (!KINDS.contains(kind)) {
            throw invalid(kind, name, List.of("the kind is unknown; use one of " + KINDS));
        }
        if (!NAME.matcher(name).matches()) {
            throw invalid(
                    kind,
                    name,
                    List.of("the name is invalid; use up to 128 letters, digits and the characters . _ : -, "
                            + "beginning with a letter or digit"));
        }
    }

    private static ParsedEntry parseProfile(String name, TomlEntryReader reader) {
        ProfileKind kind =
                parseEnum(ProfileKind.class, "kind", reader.requiredString("kind"), reader, ProfileKind.RETRIABLE);
        int attempts = (int) reader.longInRange("max-attempts", 1, MAX_ATTEMPTS);
        int priority = (int) reader.longInRange("priority", 0, MAX_PRIORITY);
        long deadline = reader.longInRange("deadline-ms", 1, MAX_DEADLINE_MILLIS);
        return new ProfileValue(new Profile(name, kind, attempts, priority, deadline));
    }

    private static ParsedEntry parseService(String name, TomlEntryReader reader) {
        return new ServiceValue(
                new ServiceName(name), reader.requiredString("profile"), reader.booleanValue("generation"));
    }

    private static ParsedEntry parseAccount(String name, TomlEntryReader reader) {
        String key = reader.requiredString("key-sha256");
        if (!SHA256.matcher(key).matches()) {
            reader.addError(
                    "key-sha256", "set it to the SHA-256 digest of the API key as 64 lower-case hexadecimal digits");
        }
        double weight = reader.positiveDouble("weight");
        OptionalDouble limit = reader.has("tokens-per-second")
                ? OptionalDouble.of(reader.positiveDouble("tokens-per-second"))
                : OptionalDouble.empty();
        return new AccountValue(new AccountSettings(new AccountId(name), key, weight, limit));
    }

    private static ParsedEntry parseTarget(String name, TomlEntryReader reader) {
        String service = reader.requiredString("service");
        String address = reader.requiredString("address");
        checkAddress(address, reader);
        String region = reader.requiredString("region");
        String domain = reader.requiredString("failure-domain");
        String model = reader.optionalString("model");
        String version = reader.optionalString("version");
        int slots = (int) reader.longInRange("slots", 1, MAX_SLOTS);
        Set<Capability> capabilities = EnumSet.noneOf(Capability.class);
        for (String text : reader.stringList("capabilities")) {
            capabilities.add(parseEnum(Capability.class, "capabilities", text, reader, Capability.ATTACH));
        }
        return new TargetValue(new Target(
                new TargetId(name),
                new ServiceName(service),
                address,
                new Region(region),
                new FailureDomain(domain),
                model,
                version,
                slots,
                capabilities));
    }

    private static void checkAddress(String address, TomlEntryReader reader) {
        var matcher = ADDRESS.matcher(address);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            reader.addError("address", "set it to an IP address and a port, for example \"10.0.0.1:8000\"");
        }
    }

    private static <E extends Enum<E>> E parseEnum(
            Class<E> type, String key, String text, TomlEntryReader reader, E fallback) {
        for (E constant : type.getEnumConstants()) {
            if (configurationName(constant).equals(text)) {
                return constant;
            }
        }
        List<String> allowed = List.of(type.getEnumConstants()).stream()
                .map(ConfigurationParser::configurationName)
                .toList();
        reader.addError(key, "the value \"" + text + "\" is unknown; use one of " + allowed);
        return fallback;
    }

    private static String configurationName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static AmaranthlockException invalid(String kind, String name, List<String> errors) {
        return new AmaranthlockException(
                ErrorCode.INVALID_REQUEST,
                "configuration entry " + kind + "/" + name + " is not valid: " + String.join("; ", errors));
    }
}
