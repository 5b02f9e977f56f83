package org.amaranthlock.entry.explain;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.amaranthlock.entry.explain.ExplainQuery.RouteAddress;
import org.amaranthlock.platform.UnsentRequest;

/** Reads {@link ExplainQuery}s from the query of a request target. */
final class ExplainQueryParser {
    static final String FORMAT = "format";
    private static final String REQUEST = "request";
    private static final String ROUTE = "route";
    private static final String HOST = "host";
    private static final String PATH = "path";
    private static final String METHOD = "method";
    private static final String ACCOUNT = "account";
    private static final String PROMPT = "prompt";
    private static final String TOKENS = "tokens";
    private static final String LENGTH_HINT = "length-hint";
    private static final String TIME_LEFT = "time-left-ms";
    private static final Set<String> KNOWN =
            Set.of(FORMAT, REQUEST, ROUTE, HOST, PATH, METHOD, ACCOUNT, PROMPT, TOKENS, LENGTH_HINT, TIME_LEFT);

    private static final Pattern PROMPT_PARTS = Pattern.compile("[^:,]+:\\d{1,9}(,[^:,]+:\\d{1,9})*");
    private static final Pattern COUNTS = Pattern.compile("\\d{1,9}(,\\d{1,9})?");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");
    private static final Pattern METHOD_NAME = Pattern.compile("[A-Z]{1,20}");

    private final Map<String, List<String>> parameters;

    /** Creates a parser; throws {@link ExplainException} if a parameter is unknown or given twice. */
    ExplainQueryParser(String requestTarget) {
        try {
            this.parameters = new QueryStringDecoder(requestTarget).parameters();
        } catch (IllegalArgumentException e) {
            throw wrong("The query cannot be decoded: " + e.getMessage() + ". Encode special characters with %.");
        }
        parameters.forEach((name, values) -> {
            if (!KNOWN.contains(name)) {
                throw wrong("The parameter \"" + shorten(name) + "\" is unknown. Known ones: "
                        + String.join(", ", new TreeSet<>(KNOWN)) + ".");
            }
            if (values.size() > 1) {
                throw wrong("The parameter \"" + name + "\" is given more than once. Give it once.");
            }
        });
    }

    /** Returns whether the answer is to be JSON. */
    boolean json() {
        String format = value(FORMAT).orElse("text");
        if (!format.equals("json") && !format.equals("text")) {
            throw wrong("The format \"" + shorten(format) + "\" is unknown. Use text or json.");
        }
        return format.equals("json");
    }

    /** Returns the query. */
    ExplainQuery query() {
        Optional<String> id = value(REQUEST);
        if (id.isPresent()) {
            boolean more = parameters.keySet().stream().anyMatch(name -> !name.equals(REQUEST) && !name.equals(FORMAT));
            if (more) {
                throw wrong("A request in progress has its own properties. Give \"request\" without others.");
            }
            return new ExplainQuery.InProgress(id.get());
        }
        matching(METHOD, METHOD_NAME, "a method in capitals, for example POST");
        return new ExplainQuery.Unsent(
                address(),
                value(ACCOUNT),
                new UnsentRequest(
                        matching(PROMPT, PROMPT_PARTS, "ID:TOKENS, separated by commas"),
                        matching(TOKENS, COUNTS, "PROMPT,RESPONSE in tokens, for example 5200,800"),
                        matching(LENGTH_HINT, NUMBER, "a number of tokens"),
                        matching(TIME_LEFT, NUMBER, "a number of milliseconds")));
    }

    private RouteAddress address() {
        Optional<String> name = value(ROUTE);
        Optional<String> host = value(HOST);
        Optional<String> path = value(PATH);
        if (name.isPresent() && host.isEmpty() && path.isEmpty()) {
            return new RouteAddress.Named(name.get());
        }
        if (name.isEmpty()
                && host.isPresent()
                && path.filter(text -> text.startsWith("/")).isPresent()) {
            return new RouteAddress.Located(host.get(), path.get());
        }
        throw wrong(
                "It is not clear which request is meant. Give either \"request\" (the id of one in progress), \"route\""
                        + " (the name of a route), or \"host\" and \"path\" (which begins with a slash).");
    }

    private Optional<String> matching(String name, Pattern pattern, String expected) {
        Optional<String> value = value(name);
        if (value.filter(text -> !pattern.matcher(text).matches()).isPresent()) {
            throw wrong("The value \"" + shorten(value.get()) + "\" of \"" + name + "\" cannot be read. Give "
                    + expected + ".");
        }
        return value;
    }

    private Optional<String> value(String name) {
        return Optional.ofNullable(parameters.get(name)).map(List::getFirst).filter(text -> !text.isEmpty());
    }

    private static String shorten(String text) {
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    private static ExplainException wrong(String message) {
        return new ExplainException(ExplainError.WRONG_PARAMETER, message);
    }
}
