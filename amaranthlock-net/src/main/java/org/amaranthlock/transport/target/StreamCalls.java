package org.amaranthlock.transport.target;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;

/** Opens and attaches to engine streams. */
final class StreamCalls {
    private static final int OK = 200;

    /** Time to read the body of a refusal. */
    private static final Duration REFUSAL_TIMEOUT = Duration.ofSeconds(2);

    private final TargetFailures failures;

    StreamCalls(TargetFailures failures) {
        this.failures = failures;
    }

    /** Starts a stream; {@code attach} tells whether it exists already. */
    void start(Attempt attempt, TargetConnection connection, HttpRequest request, boolean attach) {
        connection.acquire();
        toSource(connection.streaming().request(request.toStreamingRequest()))
                .subscribe(new ResponseSubscriber(attempt, connection, attach));
    }

    private final class ResponseSubscriber implements SingleSource.Subscriber<StreamingHttpResponse> {
        private final Attempt attempt;
        private final TargetConnection connection;
        private final boolean attach;

        ResponseSubscriber(Attempt attempt, TargetConnection connection, boolean attach) {
            this.attempt = attempt;
            this.connection = connection;
            this.attach = attach;
        }

        @Override
        public void onSubscribe(Cancellable cancellable) {
            attempt.exchange(cancellable);
        }

        @Override
        public void onSuccess(StreamingHttpResponse response) {
            if (response.status().code() == OK) {
                toSource(response.payloadBody().beforeFinally(connection::release))
                        .subscribe(new StreamReader(attempt, failures));
                return;
            }
            response.toResponse()
                    .timeout(REFUSAL_TIMEOUT)
                    .beforeFinally(connection::release)
                    .toCompletionStage()
                    .whenComplete(this::refused);
        }

        @Override
        public void onError(Throwable failure) {
            connection.release();
            failures.broken(attempt, failure);
        }

        private void refused(HttpResponse response, Throwable failure) {
            if (failure != null) {
                failures.lost(attempt, failure.toString());
                return;
            }
            byte[] body = TargetJson.body(response);
            failures.refused(attempt, response.status().code(), response.headers(), body, attach);
        }
    }
}
