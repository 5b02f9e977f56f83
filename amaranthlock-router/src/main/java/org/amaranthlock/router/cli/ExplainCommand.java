package org.amaranthlock.router.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.amaranthlock.model.ErrorCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Asks an entry host where a request would go now, and why; nothing is sent to a target. */
@Command(
        name = "explain",
        description = {
            "Explains where a request would go now, and why, without sending it.",
            "Name a request in progress with --request, or describe one with --route or --to."
        })
final class ExplainCommand implements Callable<Integer> {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** Exceeds the time for which a host lets a call wait. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private static final int STATUS_OK = 200;
    private static final int STATUS_WRONG_PARAMETER = 400;

    /** First word of an explanation as text; a host of an older build answers with its metrics. */
    private static final String TEXT_BEGIN = "explain";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--entry",
            paramLabel = "ADDRESS",
            required = true,
            description = "IP address and port of an entry host's metrics server.")
    private String entry;

    @Option(names = "--request", paramLabel = "ID", description = "Id of a request in progress at this host.")
    private String request;

    @Option(names = "--route", paramLabel = "NAME", description = "Name of a route in the configuration.")
    private String route;

    @Option(
            names = "--to",
            paramLabel = "HOST/PATH",
            description = "Host and path of a request, for example api.example/draft/1.")
    private String to;

    @Option(names = "--method", paramLabel = "METHOD", description = "Its HTTP method; no route depends on it.")
    private String method;

    @Option(names = "--account", paramLabel = "NAME", description = "Client account that would send it.")
    private String account;

    @Option(
            names = "--prompt",
            paramLabel = "ID:TOKENS,...",
            description = "Parts of its prompt in order; the last one belongs to the request.")
    private String prompt;

    @Option(names = "--tokens", paramLabel = "PROMPT,RESPONSE", description = "Tokens of its prompt and its response.")
    private String tokens;

    @Option(names = "--length-hint", paramLabel = "TOKENS", description = "Response tokens that the client expects.")
    private String lengthHint;

    @Option(names = "--time-left-ms", paramLabel = "MS", description = "Time that the client waits for the response.")
    private String timeLeftMillis;

    @Option(names = "--json", description = "Print JSON instead of text.")
    private boolean json;

    @Override
    public Integer call() {
        HttpResponse<String> response = send("http://" + entry + "/explain?" + query());
        if (response.statusCode() != STATUS_OK) {
            throw rejection(response);
        }
        boolean explained = json
                ? readJson(response.body()).has("admission")
                : response.body().startsWith(TEXT_BEGIN);
        if (!explained) {
            throw new CommandException(
                    ExitCodes.FAILED,
                    ErrorCode.INTERNAL,
                    entry
                            + " does not explain requests. Check that --entry is the metrics address of an entry host, and"
                            + " that the host runs a build with this command.");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println(
                json
                        ? readJson(response.body()).toPrettyString()
                        : response.body().stripTrailing());
        return ExitCodes.OK;
    }

    private String query() {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put("request", request);
        parameters.put("route", route);
        if (to != null) {
            int slash = to.indexOf('/');
            if (slash <= 0) {
                throw new CommandException(
                        ExitCodes.USAGE,
                        ErrorCode.INVALID_REQUEST,
                        "'" + to + "' is not a host and a path; give --to like api.example/draft/1.");
            }
            parameters.put("host", to.substring(0, slash));
            parameters.put("path", to.substring(slash));
        }
        parameters.put("method", method);
        parameters.put("account", account);
        parameters.put("prompt", prompt);
        parameters.put("tokens", tokens);
        parameters.put("length-hint", lengthHint);
        parameters.put("time-left-ms", timeLeftMillis);
        parameters.put("format", json ? "json" : "text");
        return parameters.entrySet().stream()
                .filter(parameter -> parameter.getValue() != null)
                .map(parameter ->
                        parameter.getKey() + "=" + URLEncoder.encode(parameter.getValue(), StandardCharsets.UTF_8))
                .collect(Collectors.joining("&"));
    }

    private HttpResponse<String> send(String uri) {
        try (HttpClient http = HttpClient.newBuilder()
                .connectTimeout(CONNECT_TIMEOUT)
                .version(HttpClient.Version.HTTP_1_1)
                .build()) {
            return http.send(
                    HttpRequest.newBuilder(URI.create(uri))
                            .timeout(CALL_TIMEOUT)
                            .build(),
                    BodyHandlers.ofString());
        } catch (IllegalArgumentException e) {
            throw new CommandException(
                    ExitCodes.USAGE,
                    ErrorCode.INVALID_REQUEST,
                    "'" + entry + "' is not an address; give --entry as IP:PORT.");
        } catch (IOException e) {
            throw new CommandException(
                    ExitCodes.UNREACHABLE,
                    ErrorCode.INTERNAL,
                    entry + " cannot be reached. Check --entry and whether the host is running, or ask another host.");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(
                    ExitCodes.FAILED, ErrorCode.INTERNAL, "The command was interrupted while it waited for a host.");
        }
    }

    private CommandException rejection(HttpResponse<String> response) {
        JsonNode problem = readJson(response.body());
        String message = problem.path("code").asText("status-" + response.statusCode()) + ": "
                + problem.path("detail").asText("no detail");
        return response.statusCode() == STATUS_WRONG_PARAMETER
                ? new CommandException(ExitCodes.USAGE, ErrorCode.INVALID_REQUEST, message)
                : new CommandException(ExitCodes.FAILED, ErrorCode.INTERNAL, message);
    }

    private static JsonNode readJson(String body) {
        ObjectMapper mapper = new ObjectMapper();
        try {
            return mapper.readTree(body);
        } catch (JsonProcessingException e) {
            return mapper.createObjectNode();
        }
    }
}
