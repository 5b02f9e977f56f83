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

/** Platform client over HTTP. Thread-safe. */
public final class HttpObjectApiTransport implements ObjectApiTransport {
    /** Time for an answer; the platform answers in milliseconds, so a later answer counts as lost. */
    static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;

    private final String address;
    private final EventSink sink;
    private final ObjectApiValueCodec codec;
    private final ObjectApiAnswers answers;
    private volatile StreamingHttpClient streamingClient;
    private volatile HttpClient client;

    /**
     * Creates a transport.
     *
     * @param address IP number and port of the platform
     * @param sink receives the answers
     * @param codec format of the objects
     */
    public HttpObjectApiTransport(String address, EventSink sink, ObjectApiValueCodec codec) {
        this.address = Arguments.requireText(address, "address");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.codec = Objects.requireNonNull(codec, "codec");
        this.answers = new ObjectApiAnswers(codec);
    }

    @Override
    public void start() {
        streamingClient = HttpClientSupport.create(address);
        client = streamingClient.asClient();
    }

    @Override
    public void stop() {
        StreamingHttpClient started = streamingClient;
        client = null;
        streamingClient = null;
        if (started != null) {
            started.closeAsync().subscribe();
        }
    }

    @Override
    public void execute(ObjectApiCommand command) {
        HttpClient current = client;
        if (current == null) {
            sink.accept(new OperationFailed(command.operation(), "the platform client is stopped"));
            return;
        }
        current.request(request(current, command))
                .timeout(timeout(command))
                .toCompletionStage()
                .whenComplete((response, failure) ->
                        sink.accept(failure == null ? answered(command, response) : failed(command, failure)));
    }

    private HttpRequest request(HttpClient client, ObjectApiCommand command) {
        return switch (command) {
            case ObjectApiCommand.Read read -> client.get(objectPath(read.key()));
            case ObjectApiCommand.Delete delete -> client.delete(objectPath(delete.key()));
            case ObjectApiCommand.Write write -> writeRequest(client, write);
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

    private HttpRequest writeRequest(HttpClient client, ObjectApiCommand.Write write) {
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

    private static Duration timeout(ObjectApiCommand command) {
        return command instanceof ObjectApiCommand.Watch watch
                ? ANSWER_TIMEOUT.plusMillis(watch.timeoutMillis())
                : ANSWER_TIMEOUT;
    }

    private static boolean changes(ObjectApiCommand command) {
        return command instanceof ObjectApiCommand.Write || command instanceof ObjectApiCommand.Delete;
    }

    private static ObjectApiEvent failed(ObjectApiCommand command, Throwable failure) {
        if (changes(command) && !HttpClientSupport.certainlyNotSent(failure)) {
            return new WriteUnknown(command.operation());
        }
        return new OperationFailed(command.operation(), "the platform can't be reached: " + failure);
    }

    private ObjectApiEvent answered(ObjectApiCommand command, HttpResponse response) {
        int status = response.status().code();
        try {
            if (changes(command)) {
                return written(command, status, response);
            }
            return read(command, status, response);
        } catch (IOException | RuntimeException e) {
            return changes(command)
                    ? new WriteUnknown(command.operation())
                    : new OperationFailed(command.operation(), "the platform's answer can't be read: " + e);
        }
    }

    private static ObjectApiEvent written(ObjectApiCommand command, int status, HttpResponse response) {
        long operation = command.operation();
        if (isSuccess(status)) {
            long version = command instanceof ObjectApiCommand.Write ? version(response) : 0;
            return new WriteApplied(operation, version, revision(response));
        }
        if (status == NOT_FOUND && command instanceof ObjectApiCommand.Delete) {
            return new WriteApplied(operation, 0, 0);
        }
        if (status == PRECONDITION_FAILED) {
            return new WriteConflicted(operation);
        }
        if (status >= FIRST_SERVER_ERROR && status != UNAVAILABLE) {
            return new WriteUnknown(operation);
        }
        return refused(operation, status);
    }

    private ObjectApiEvent read(ObjectApiCommand command, int status, HttpResponse response) throws IOException {
        long operation = command.operation();
        if (status == NOT_FOUND && command instanceof ObjectApiCommand.Read) {
            return new ReadDone(operation, Optional.empty());
        }
        if (!isSuccess(status)) {
            return refused(operation, status);
        }
        byte[] body = bytes(response.payloadBody());
        return switch (command) {
            case ObjectApiCommand.ListObjects _ -> answers.list(operation, body, revision(response));
            case ObjectApiCommand.Watch _ -> answers.watch(operation, body);
            case ObjectApiCommand.ListHosts _ -> answers.hosts(body);
            case ObjectApiCommand.Read read ->
                new ReadDone(
                        operation,
                        Optional.of(new VersionedObject(
                                read.key(), version(response), revision(response), codec.decode(body))));
            case ObjectApiCommand.Write _, ObjectApiCommand.Delete _ ->
                throw new IllegalArgumentException("not a read: " + command);
        };
    }

    private static OperationFailed refused(long operation, int status) {
        String reason = switch (status) {
            case TOO_MANY_REQUESTS -> "the platform is over its rate; repeat later";
            case UNAVAILABLE -> "the platform has an outage; repeat later";
            default -> "the platform refused the operation with status " + status;
        };
        return new OperationFailed(operation, reason);
    }

    private static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    private static long version(HttpResponse response) {
        String tag = header(response, "etag");
        Arguments.require(tag.length() > 2 && tag.startsWith("\"") && tag.endsWith("\""), "bad ETag: " + tag);
        return Long.parseLong(tag.substring(1, tag.length() - 1));
    }

    private static long revision(HttpResponse response) {
        return Long.parseLong(header(response, "platform-revision"));
    }

    private static String header(HttpResponse response, String name) {
        CharSequence value = response.headers().get(name);
        Arguments.require(value != null, "the answer lacks the header " + name);
        return value.toString();
    }

    private static byte[] bytes(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }
}
