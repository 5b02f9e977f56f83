package org.amaranthlock.router.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.ErrorCode;

/** Client of the admin API, which calls the first reachable router. */
final class AdminClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    // Exceeds the router's own timeout of 15 s for a result of its decision core.
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final int STATUS_CONFLICT = 409;
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(CONNECT_TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<String> routers;
    private final String operatorKey;

    AdminClient(List<String> routers, String operatorKey) {
        this.routers = List.copyOf(routers);
        this.operatorKey = operatorKey;
    }

    /** Returns the JSON resource at a path. */
    JsonNode get(String path) {
        return call("GET", path, Optional.empty(), 0);
    }

    /** Returns the JSON resource at a path; empty if it does not exist. */
    Optional<JsonNode> find(String path) {
        HttpResponse<String> response = send("GET", path, Optional.empty(), 0);
        return response.statusCode() == ErrorCode.UNKNOWN_REQUEST.status()
                ? Optional.empty()
                : Optional.of(checkResponse(response));
    }

    /** Sends a POST request without a body. */
    JsonNode post(String path) {
        return call("POST", path, Optional.empty(), 0);
    }

    /** Writes an entry if it has the expected revision; 0 means that it must not exist. */
    JsonNode put(String path, String text, long expectedRevision) {
        return call("PUT", path, Optional.of(text), expectedRevision);
    }

    /** Deletes an entry if it has the expected revision. */
    JsonNode delete(String path, long expectedRevision) {
        return call("DELETE", path, Optional.empty(), expectedRevision);
    }

    private JsonNode call(String method, String path, Optional<String> body, long expectedRevision) {
        return checkResponse(send(method, path, body, expectedRevision));
    }

    private HttpResponse<String> send(String method, String path, Optional<String> body, long expectedRevision) {
        for (String router : routers) {
            try {
                return http.send(request(router, method, path, body, expectedRevision), BodyHandlers.ofString());
            } catch (ConnectException | HttpConnectTimeoutException e) {
                // Nothing was sent, so calling the next router can't apply a change twice.
                continue;
            } catch (IOException e) {
                throw new CommandException(
                        ExitCodes.UNREACHABLE,
                        ErrorCode.INTERNAL,
                        "The connection to " + router + " was lost or timed out"
                                + (method.equals("GET")
                                        ? "; try again."
                                        : " and it is unknown whether the change took effect; read the entry before retrying it."));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CommandException(
                        ExitCodes.FAILED,
                        ErrorCode.INTERNAL,
                        "The command was interrupted while it waited for a router.");
            }
        }
        throw new CommandException(
                ExitCodes.UNREACHABLE,
                ErrorCode.INTERNAL,
                "None of the routers is reachable: " + String.join(", ", routers)
                        + ". Check --router and whether the routers are running.");
    }

    private HttpRequest request(
            String router, String method, String path, Optional<String> body, long expectedRevision) {
        HttpRequest.Builder request;
        try {
            request = HttpRequest.newBuilder(URI.create("http://" + router + path));
        } catch (IllegalArgumentException e) {
            throw new CommandException(
                    ExitCodes.USAGE,
                    ErrorCode.INVALID_REQUEST,
                    "'" + router + path + "' is not an address and a path; check --router and the arguments.");
        }
        if (method.equals("PUT") || method.equals("DELETE")) {
            if (expectedRevision == 0) {
                request.header("If-None-Match", "*");
            } else {
                request.header("If-Match", "\"" + expectedRevision + "\"");
            }
        }
        return request.timeout(CALL_TIMEOUT)
                .header("Authorization", "Bearer " + operatorKey)
                .method(method, body.map(BodyPublishers::ofString).orElseGet(BodyPublishers::noBody))
                .build();
    }

    private JsonNode checkResponse(HttpResponse<String> response) {
        JsonNode json;
        try {
            json = mapper.readTree(response.body());
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCodes.FAILED,
                    ErrorCode.INTERNAL,
                    "The response does not come from a router (status " + response.statusCode() + "); check --router.");
        }
        if (response.statusCode() < FIRST_ERROR_STATUS) {
            return json;
        }
        boolean conflict = response.statusCode() == STATUS_CONFLICT;
        String message =
                json.path("code").asText("error") + ": " + json.path("detail").asText("no detail");
        if (conflict && json.has("present")) {
            JsonNode current = json.get("present");
            message += "\nThe current revision is " + current.path("revision").asLong() + " by "
                    + current.path("author").asText() + ".";
        }
        throw new CommandException(
                conflict ? ExitCodes.CONFLICT : ExitCodes.FAILED,
                conflict ? ErrorCode.VERSION_CONFLICT : ErrorCode.INTERNAL,
                message);
    }
}
