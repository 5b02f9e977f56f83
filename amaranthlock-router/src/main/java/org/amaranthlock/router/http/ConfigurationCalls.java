package org.amaranthlock.router.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationAccepted;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationShown;
import org.amaranthlock.coordination.OperatorCommand.Failed;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.router.http.OperatorRequestHandler.OperatorResponses;
import org.jboss.logging.Logger;

/** Handles operators' reads and conditional writes of configuration entries. */
final class ConfigurationCalls {
    private static final Logger LOG = Logger.getLogger(ConfigurationCalls.class);
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private final PendingOperatorCalls calls;

    ConfigurationCalls(PendingOperatorCalls calls) {
        this.calls = calls;
    }

    /**
     * Handles a request below {@code /admin/config}.
     *
     * @param request request of an authenticated operator
     * @param subPath path after {@code /admin/config}: empty, {@code /<kind>} or {@code /<kind>/<name>}
     * @param operator name of the operator
     */
    CompletableFuture<OutboundResponse> handle(InboundRequest request, String subPath, String operator) {
        String[] parts =
                subPath.isEmpty() ? new String[0] : subPath.substring(1).split("/", -1);
        if (parts.length > 2) {
            throw invalid("The path must be /admin/config, /admin/config/<kind> or /admin/config/<kind>/<name>.");
        }
        if (parts.length > 0) {
            checkKind(parts[0]);
        }
        if (parts.length < 2) {
            requireGet(request);
            return list(parts.length == 0 ? "" : parts[0]);
        }
        if (!NAME_PATTERN.matcher(parts[1]).matches()) {
            throw invalid(
                    "The entry name '" + parts[1] + "' must consist of 1 to 128 of the characters A-Z a-z 0-9 . _ -");
        }
        return switch (request.method()) {
            case "GET" -> show(parts[0], parts[1]);
            case "PUT" -> put(request, parts[0], parts[1], operator, Optional.of(requiredBody(request)));
            case "DELETE" -> put(request, parts[0], parts[1], operator, Optional.empty());
            default -> throw invalid("A configuration entry accepts GET, PUT and DELETE.");
        };
    }

    private CompletableFuture<OutboundResponse> list(String kind) {
        return calls.submit(call -> new OperatorEvent.GetConfiguration(call, kind, ""))
                .thenApply(result -> switch (result) {
                    case ConfigurationShown shown -> OutboundResponse.json(200, OperatorJson.entries(shown.entries()));
                    default -> OperatorResponses.failureResponse(result);
                });
    }

    private CompletableFuture<OutboundResponse> show(String kind, String name) {
        return calls.submit(call -> new OperatorEvent.GetConfiguration(call, kind, name))
                .thenApply(result -> switch (result) {
                    case ConfigurationShown shown -> showResponse(kind, name, shown.entries());
                    default -> OperatorResponses.failureResponse(result);
                });
    }

    private static OutboundResponse showResponse(String kind, String name, List<ConfigurationEntry> entries) {
        Optional<ConfigurationEntry> entry = find(kind, name, entries);
        if (entry.isPresent() && entry.get().version().text().isPresent()) {
            return entryResponse(200, entry.get());
        }
        ObjectNode problem = ProblemResponses.toJson(
                ProblemResponses.notRunRefusal(
                        ErrorCode.UNKNOWN_REQUEST,
                        "There is no entry " + kind + "/" + name + "; GET /admin/config lists the entries."),
                Optional.empty());
        entry.ifPresent(deleted -> problem.set("present", OperatorJson.entry(deleted)));
        return OutboundResponse.of(
                ErrorCode.UNKNOWN_REQUEST.status(), ProblemResponses.CONTENT_TYPE, Json.writeBytes(problem));
    }

    private CompletableFuture<OutboundResponse> put(
            InboundRequest request, String kind, String name, String operator, Optional<String> text) {
        long expected = expectedRevision(request);
        // Identifies the change if the platform's response to the write is lost and the entry is read back.
        String changeId = UUID.randomUUID().toString();
        return calls.submit(call ->
                        new OperatorEvent.PutConfiguration(call, kind, name, expected, text, operator, changeId))
                .thenCompose(result -> putResponse(kind, name, operator, result));
    }

    private CompletableFuture<OutboundResponse> putResponse(
            String kind, String name, String operator, OperatorCommand result) {
        return switch (result) {
            case ConfigurationAccepted accepted -> {
                LOG.infof(
                        "configuration changed entry=%s/%s revision=%d author=%s",
                        kind, name, accepted.entry().revision(), operator);
                yield CompletableFuture.completedFuture(entryResponse(200, accepted.entry()));
            }
            case Failed failed when failed.code() == ErrorCode.VERSION_CONFLICT -> conflictResponse(kind, name, failed);
            default -> CompletableFuture.completedFuture(OperatorResponses.failureResponse(result));
        };
    }

    private CompletableFuture<OutboundResponse> conflictResponse(String kind, String name, Failed failed) {
        return calls.submit(call -> new OperatorEvent.GetConfiguration(call, kind, name))
                .thenApply(result -> {
                    ObjectNode problem = ProblemResponses.toJson(
                            ProblemResponses.notRunRefusal(failed.code(), failed.detail()), Optional.empty());
                    if (result instanceof ConfigurationShown shown) {
                        find(kind, name, shown.entries())
                                .ifPresent(current -> problem.set("present", OperatorJson.entry(current)));
                    }
                    return OutboundResponse.of(
                            failed.code().status(), ProblemResponses.CONTENT_TYPE, Json.writeBytes(problem));
                });
    }

    private static Optional<ConfigurationEntry> find(String kind, String name, List<ConfigurationEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.kind().equals(kind) && entry.name().equals(name))
                .findFirst();
    }

    private static OutboundResponse entryResponse(int status, ConfigurationEntry entry) {
        return OutboundResponse.json(status, OperatorJson.entry(entry))
                .withHeader("etag", "\"" + entry.revision() + "\"");
    }

    private static long expectedRevision(InboundRequest request) {
        Optional<String> ifMatch = request.header("if-match");
        boolean create = request.header("if-none-match").filter("*"::equals).isPresent();
        if (create == ifMatch.isPresent()) {
            throw invalid("Send either If-Match: \"<revision>\" to change an entry or If-None-Match: * to create it.");
        }
        if (create) {
            return 0;
        }
        try {
            long revision = Long.parseLong(ifMatch.get().replace("\"", ""));
            if (revision >= 1) {
                return revision;
            }
        } catch (NumberFormatException e) {
            throw invalidRevision();
        }
        throw invalidRevision();
    }

    private static AmaranthlockException invalidRevision() {
        return invalid("The header If-Match must contain the revision that was read, for example If-Match: \"42\".");
    }

    private static String requiredBody(InboundRequest request) {
        String text = new String(request.body(), StandardCharsets.UTF_8);
        if (text.isBlank()) {
            throw invalid("The body is empty; send the value as TOML, or DELETE the entry.");
        }
        return text;
    }

    private static void checkKind(String kind) {
        if (!OperatorResponses.configurationKinds().contains(kind)) {
            throw invalid("The kind '" + kind + "' is not one of "
                    + String.join(", ", OperatorResponses.configurationKinds()) + ".");
        }
    }

    private static void requireGet(InboundRequest request) {
        if (!request.method().equals("GET")) {
            throw invalid("Lists of entries accept GET only; name one entry to change it.");
        }
    }

    private static AmaranthlockException invalid(String message) {
        return new AmaranthlockException(ErrorCode.INVALID_REQUEST, message);
    }
}
