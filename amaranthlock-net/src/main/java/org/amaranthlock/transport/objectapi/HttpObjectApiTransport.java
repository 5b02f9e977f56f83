package org.amaranthlock.transport.objectapi;

import com.google.common.net.UrlEscapers;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.StreamingHttpClient;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.ObjectApiEvent.OperationFailed;
import org.amaranthlock.coordination.ObjectApiEvent.ReadDone;
import org.amaranthlock.coordination.ObjectApiEvent.WriteApplied;
import org.amaranthlock.coordination.ObjectApiEvent.WriteConflicted;
import org.amaranthlock.coordination.ObjectApiEvent.WriteUnknown;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.protocol.ObjectApiValueCodec;
import org.amaranthlock.protocol.objectapi.VersionedObject;
import org.amaranthlock.transport.EventSink;
import org.amaranthlock.transport.ObjectApiTransport;
import org.amaranthlock.transport.http.HttpClientSupport;

/** {@link ObjectApiTransport} over HTTP. Thread-safe. */
public final class HttpObjectApiTransport implements ObjectApiTransport {
    /** The platform responds within milliseconds, so a response that takes longer than this counts as lost. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;

    private final String address;
    private final EventSink sink;
    private final ObjectApiValueCodec codec;
    private final ObjectApiAnswers responseParser;
    private volatile StreamingHttpClient streamingClient;
    private volatile HttpClient client;

    /**
     * Creates a transport.
     *
     * @param address IP address and port of the platform
     * @param sink receives the results
     * @param codec encodes and decodes the values of the objects
     */
    public HttpObjectApiTransport(String address, EventSink sink, ObjectApiValueCodec codec) {
        this.address = Arguments.requireText(address, "address");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.codec = Objects.requireNonNull(codec, "codec");
        this.responseParser = new ObjectApiAnswers(codec);
    }

    @Override
    public void start() {
        streamingClient = HttpClientSupport.create(address);
        client = streamingClient.asClient();
    }

    @Override
    public void stop() {
        StreamingHttpClient startedClient = streamingClient;
        client = null;
        streamingClient = null;
        if (startedClient != null) {
            startedClient.closeAsync().subscribe();
        }
    }

    @Override
    public void execute(ObjectApiCommand command) {
        HttpClient currentClient = client;
        if (currentClient == null) {
            sink.accept(new OperationFailed(command.operation(), "the transport to the platform is not started"));
            return;
        }
        currentClient
                .request(createRequest(currentClient, command))
                .timeout(timeoutOf(command))
                .toCompletionStage()
                .whenComplete((response, failure) -> sink.accept(
                        failure == null ? responseEvent(command, response) : failureEvent(command, failure)));
    }

    private HttpRequest createRequest(HttpClient client, ObjectApiCommand command) {
        return switch (command) {
            case ObjectApiCommand.Read read -> client.get(objectPath(read.key()));
            case ObjectApiCommand.Delete delete -> client.delete(objectPath(delete.key()));
            case ObjectApiCommand.Write write -> createWriteRequest(client, write);
            case ObjectApiCommand.ListObjects list ->
                client.get("/objects")
                        .addQueryParameter("prefix", list.prefix())
                        .addQueryParameter("limit", Integer.toString(list.limit()));
            case ObjectApiCommand.Watch watch ->
                client.get("/watch")
                        .addQueryParameter("prefix", watch.prefix())
                        .addQueryParameter("after", Long.toString(watch.afterRevision()))
                        .addQueryParameter("timeoutMs", Long.toString(watch.timeoutMillis()));
            case ObjectApiCommand.ListHosts _ -> client.get("/hosts");
        };
    }

    private HttpRequest createWriteRequest(HttpClient client, ObjectApiCommand.Write write) {
        BufferAllocator allocator = client.executionContext().bufferAllocator();
        HttpRequest request = client.put(objectPath(write.key()));
        request.payloadBody(allocator.wrap(codec.encode(write.value())));
        if (write.expectedVersion() == 0) {
            return request.setHeader("if-none-match", "*");
        }
        return request.setHeader("if-match", "\"" + write.expectedVersion() + "\"");
    }

    private static String objectPath(String key) {
        return Arrays.stream(key.split("/", -1))
                .map(UrlEscapers.urlPathSegmentEscaper()::escape)
                .collect(Collectors.joining("/", "/objects/", ""));
    }

    private static Duration timeoutOf(ObjectApiCommand command) {
        return command instanceof ObjectApiCommand.Watch watch
                ? RESPONSE_TIMEOUT.plusMillis(watch.timeoutMillis())
                : RESPONSE_TIMEOUT;
    }

    private static boolean isModifying(ObjectApiCommand command) {
        return command instanceof ObjectApiCommand.Write || command instanceof ObjectApiCommand.Delete;
    }

    private static ObjectApiEvent failureEvent(ObjectApiCommand command, Throwable failure) {
        if (isModifying(command) && !HttpClientSupport.isKnownNotSent(failure)) {
            return new WriteUnknown(command.operation());
        }
        return new OperationFailed(command.operation(), "request to the platform failed: " + failure);
    }

    private ObjectApiEvent responseEvent(ObjectApiCommand command, HttpResponse response) {
        int status = response.status().code();
        try {
            if (isModifying(command)) {
                return writeResponseEvent(command, status, response);
            }
            return readResponseEvent(command, status, response);
        } catch (IOException | RuntimeException e) {
            return isModifying(command)
                    ? new WriteUnknown(command.operation())
                    : new OperationFailed(command.operation(), "malformed response from the platform: " + e);
        }
    }

    private static ObjectApiEvent writeResponseEvent(ObjectApiCommand command, int status, HttpResponse response) {
        long operation = command.operation();
        if (isSuccess(status)) {
            long version = command instanceof ObjectApiCommand.Write ? versionFromEtag(response) : 0;
            return new WriteApplied(operation, version, platformRevision(response));
        }
        if (status == NOT_FOUND && command instanceof ObjectApiCommand.Delete) { // the object is already deleted
            return new WriteApplied(operation, 0, 0);
        }
        if (status == PRECONDITION_FAILED) {
            return new WriteConflicted(operation);
        }
        // The platform sends 503 only before it applies a write; after other server errors the write may have been
        // applied.
        if (status >= FIRST_SERVER_ERROR && status != SERVICE_UNAVAILABLE) {
            return new WriteUnknown(operation);
        }
        return rejectionEvent(operation, status);
    }

    private ObjectApiEvent readResponseEvent(ObjectApiCommand command, int status, HttpResponse response)
            throws IOException {
        long operation = command.operation();
        if (status == NOT_FOUND && command instanceof ObjectApiCommand.Read) {
            return new ReadDone(operation, Optional.empty());
        }
        if (!isSuccess(status)) {
            return rejectionEvent(operation, status);
        }
        byte[] body = bytes(response.payloadBody());
        return switch (command) {
            case ObjectApiCommand.ListObjects _ ->
                responseParser.parseList(operation, body, platformRevision(response));
            case ObjectApiCommand.Watch _ -> responseParser.parseWatch(operation, body);
            case ObjectApiCommand.ListHosts _ -> responseParser.parseHosts(body);
            case ObjectApiCommand.Read read ->
                new ReadDone(
                        operation,
                        Optional.of(new VersionedObject(
                                read.key(),
                                versionFromEtag(response),
                                platformRevision(response),
                                codec.decode(body))));
            case ObjectApiCommand.Write _, ObjectApiCommand.Delete _ ->
                throw new IllegalArgumentException("not a read operation: " + command);
        };
    }

    private static OperationFailed rejectionEvent(long operation, int status) {
        String reason = switch (status) {
            case TOO_MANY_REQUESTS -> "the platform's rate limit is exceeded; retry later";
            case SERVICE_UNAVAILABLE -> "the platform is unavailable; retry later";
            default -> "the platform rejected the operation with status " + status;
        };
        return new OperationFailed(operation, reason);
    }

    private static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    private static long versionFromEtag(HttpResponse response) {
        String tag = requiredHeader(response, "etag");
        Arguments.require(
                tag.length() > 2 && tag.startsWith("\"") && tag.endsWith("\""),
                "malformed ETag in the platform's response: " + tag);
        return Long.parseLong(tag.substring(1, tag.length() - 1));
    }

    private static long platformRevision(HttpResponse response) {
        return Long.parseLong(requiredHeader(response, "platform-revision"));
    }

    private static String requiredHeader(HttpResponse response, String name) {
        CharSequence value = response.headers().get(name);
        Arguments.require(value != null, "the platform's response lacks the header " + name);
        return value.toString();
    }

    private static byte[] bytes(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }
}
