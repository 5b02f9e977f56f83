package org.amaranthlock.router.http;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.AmaranthlockException;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.IdempotencyKey;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Work;
import org.amaranthlock.router.http.ParsedRequest.Content;

/**
 * Parses clients' requests.
 *
 * <p>Invalid requests cause an {@link AmaranthlockException} whose message names the remedy.
 */
final class ClientRequestParser {
    static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
    static final String COMPLETIONS_PATH = "/v1/completions";
    static final String SERVICES_PREFIX = "/services/";

    private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;
    private static final long MAX_DEADLINE_MILLIS = 24L * 60 * 60 * 1_000;
    private static final int FIRST_PREFIX_CHARACTERS = 256;
    private static final HashFunction HASH = Hashing.murmur3_128();

    private ClientRequestParser() {}

    static boolean accepts(String path) {
        return path.equals(CHAT_COMPLETIONS_PATH) || path.equals(COMPLETIONS_PATH) || path.startsWith(SERVICES_PREFIX);
    }

    static ParsedRequest parse(InboundRequest request) {
        String key = request.bearerKey()
                .orElseThrow(() -> new AmaranthlockException(
                        ErrorCode.UNAUTHENTICATED,
                        "The request has no account key; send the header 'Authorization: Bearer <account key>'."));
        Content content = content(request);
        Optional<ResumePoint> resume = request.header("last-event-id").map(ResumePoint::parse);
        if (resume.isPresent()) {
            checkResumable(content);
        }
        return new ParsedRequest(
                Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString(),
                request.header("idempotency-key").map(ClientRequestParser::idempotencyKey),
                deadlineMillis(request),
                resume,
                fingerprint(request),
                content);
    }

    /**
     * Returns the hashes of the prompt's prefixes of 256, 512, 1024, ... characters, shortest first.
     *
     * <p>The target selector uses them to prefer engines that have cached a prefix of the prompt.
     */
    static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        for (long length = FIRST_PREFIX_CHARACTERS; length <= prompt.length(); length *= 2) {
            hashes.add(
                    HASH.hashUnencodedChars(prompt.subSequence(0, (int) length)).asLong());
        }
        return hashes;
    }

    private static Content content(InboundRequest request) {
        if (request.path().startsWith(SERVICES_PREFIX)) {
            return serviceCall(request);
        }
        if (!request.method().equals("POST")) {
            throw invalid("The path " + request.path() + " accepts POST only.");
        }
        CompletionRequest completion =
                CompletionRequestParser.parse(request.path().equals(CHAT_COMPLETIONS_PATH), request.body());
        return new Content.Completion(completion, prefixHashes(completion.prompt()));
    }

    private static Content serviceCall(InboundRequest request) {
        String serviceAndPath = request.target().substring(SERVICES_PREFIX.length());
        int slash = serviceAndPath.indexOf('/');
        if (slash <= 0) {
            throw invalid("The path must be /services/<service>/<path>.");
        }
        return new Content.PlainServiceCall(
                new ServiceName(serviceAndPath.substring(0, slash)),
                new Work.ServiceCall(
                        request.method(),
                        serviceAndPath.substring(slash),
                        ServiceResponseMapper.forwardedHeaders(request.headers()),
                        request.body()));
    }

    private static void checkResumable(Content content) {
        boolean streamed = switch (content) {
            case Content.Completion(var completion, var hashes) -> completion.stream();
            case Content.PlainServiceCall _ -> false;
        };
        if (!streamed) {
            throw invalid("The header Last-Event-ID is valid for completions with \"stream\": true only; omit it.");
        }
    }

    private static IdempotencyKey idempotencyKey(String value) {
        if (value.length() > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
            throw invalid("The header Idempotency-Key is longer than " + MAX_IDEMPOTENCY_KEY_CHARACTERS
                    + " characters; send a shorter key.");
        }
        return new IdempotencyKey(value);
    }

    private static OptionalLong deadlineMillis(InboundRequest request) {
        Optional<String> header = request.header("amaranthlock-deadline-ms");
        if (header.isEmpty()) {
            return OptionalLong.empty();
        }
        try {
            long millis = Long.parseLong(header.get());
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return OptionalLong.of(millis);
            }
        } catch (NumberFormatException e) {
            throw invalidDeadline();
        }
        throw invalidDeadline();
    }

    private static AmaranthlockException invalidDeadline() {
        return invalid("The header Amaranthlock-Deadline-Ms must be an integer from 1 to " + MAX_DEADLINE_MILLIS
                + " (milliseconds).");
    }

    private static long fingerprint(InboundRequest request) {
        return HASH.newHasher()
                .putString(request.method(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(request.target(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putBytes(request.body())
                .hash()
                .asLong();
    }

    private static AmaranthlockException invalid(String message) {
        return new AmaranthlockException(ErrorCode.INVALID_REQUEST, message);
    }
}
