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

/** Reads and conditional writes of configuration entries. */
final class ConfigurationCalls {
    private static final Logger LOG = Logger.getLogger(ConfigurationCalls.class);
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private final PendingOperatorCalls calls;

    ConfigurationCalls(PendingOperatorCalls calls) {
        this.calls = calls;
    }

    /**
     * Handles a call.
     *
     * @param request the call of an authenticated operator
     * @param subPath path behind {@code /admin/config}: empty, {@code /<kind>} or {@code /<kind>/<name>}
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
            throw invalid("The entry name '" + parts[1] + "' must consist of 1 to 128 of A-Z a-z 0-9 . _ -");
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
                .thenApply(answer -> switch (answer) {
                    case ConfigurationShown shown -> OutboundResponse.json(200, OperatorJson.entries(shown.entries()));
                    default -> OperatorResponses.failureResponse(answer);
                });
    }

    private CompletableFuture<OutboundResponse> show(String kind, String name) {
        return calls.submit(call -> new OperatorEvent.GetConfiguration(call, kind, name))
                .thenApply(answer -> switch (answer) {
                    case ConfigurationShown shown -> showReply(kind, name, shown.entries());
                    default -> OperatorResponses.failureResponse(answer);
                });
    }

    private static OutboundResponse showReply(String kind, String name, List<ConfigurationEntry> entries) {
        Optional<ConfigurationEntry> entry = find(kind, name, entries);
        if (entry.isPresent() && entry.get().version().text().isPresent()) {
            return entryReply(200, entry.get());
        }
        ObjectNode problem = ProblemDetails.json(
                ProblemDetails.notRunRefusal(
                        ErrorCode.UNKNOWN_REQUEST, "There is no entry " + kind + "/" + name + "; list the entries."),
                Optional.empty());
        entry.ifPresent(deleted -> problem.set("present", OperatorJson.entry(deleted)));
        return OutboundResponse.of(
                ErrorCode.UNKNOWN_REQUEST.status(), ProblemDetails.CONTENT_TYPE, Json.writeBytes(problem));
    }

    private CompletableFuture<OutboundResponse> put(
            InboundRequest request, String kind, String name, String operator, Optional<String> text) {
        long expected = expectedRevision(request);
        String changeId = UUID.randomUUID().toString();
        return calls.submit(call ->
                        new OperatorEvent.PutConfiguration(call, kind, name, expected, text, operator, changeId))
                .thenCompose(answer -> putReply(kind, name, operator, answer));
    }

    private CompletableFuture<OutboundResponse> putReply(
            String kind, String name, String operator, OperatorCommand answer) {
        return switch (answer) {
            case ConfigurationAccepted accepted -> {
                LOG.infof(
                        "configuration changed entry=%s/%s revision=%d author=%s",
                        kind, name, accepted.entry().revision(), operator);
                yield CompletableFuture.completedFuture(entryReply(200, accepted.entry()));
            }
            case Failed failed when failed.code() == ErrorCode.VERSION_CONFLICT -> conflict(kind, name, failed);
            default -> CompletableFuture.completedFuture(OperatorResponses.failureResponse(answer));
        };
    }

    private CompletableFuture<OutboundResponse> conflict(String kind, String name, Failed failed) {
        return calls.submit(call -> new OperatorEvent.GetConfiguration(call, kind, name))
                .thenApply(answer -> {
                    ObjectNode problem = ProblemDetails.json(
                            ProblemDetails.notRunRefusal(failed.code(), failed.detail()), Optional.empty());
                    if (answer instanceof ConfigurationShown shown) {
                        find(kind, name, shown.entries())
                                .ifPresent(present -> problem.set("present", OperatorJson.entry(present)));
                    }
                    return OutboundResponse.of(
                            failed.code().status(), ProblemDetails.CONTENT_TYPE, Json.writeBytes(problem));
                });
    }

    private static Optional<ConfigurationEntry> find(String kind, String name, List<ConfigurationEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.kind().equals(kind) && entry.name().equals(name))
                .findFirst();
    }

    private static OutboundResponse entryReply(int status, ConfigurationEntry entry) {
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
        return invalid("The header If-Match must hold the revision that was read, for example If-Match: \"42\".");
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
