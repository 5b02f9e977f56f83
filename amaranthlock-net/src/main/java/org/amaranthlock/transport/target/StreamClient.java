package org.amaranthlock.transport.target;

import static io.servicetalk.concurrent.api.SourceAdapters.toSource;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.time.Duration;

/** Opens engine streams and attaches to existing ones. */
final class StreamClient {
    private static final int OK = 200;

    /** Time limit for reading the body of an error response. */
    private static final Duration ERROR_BODY_TIMEOUT = Duration.ofSeconds(2);

    private final TargetFailureHandler failureHandler;

    StreamClient(TargetFailureHandler failureHandler) {
        this.failureHandler = failureHandler;
    }

    /** Starts to read a stream; {@code attach} tells whether the request attaches to an existing stream. */
    void start(HttpAttempt attempt, TargetClient client, HttpRequest request, boolean attach) {
        client.acquire();
        toSource(client.streamingClient().request(request.toStreamingRequest()))
                .subscribe(new ResponseSubscriber(attempt, client, attach));
    }

    private final class ResponseSubscriber implements SingleSource.Subscriber<StreamingHttpResponse> {
        private final HttpAttempt attempt;
        private final TargetClient client;
        private final boolean attach;

        ResponseSubscriber(HttpAttempt attempt, TargetClient client, boolean attach) {
            this.attempt = attempt;
            this.client = client;
            this.attach = attach;
        }

        @Override
        public void onSubscribe(Cancellable cancellable) {
            attempt.setExchange(cancellable);
        }

        @Override
        public void onSuccess(StreamingHttpResponse response) {
            if (response.status().code() == OK) {
                toSource(response.payloadBody().beforeFinally(client::release))
                        .subscribe(new StreamSubscriber(attempt, failureHandler));
                return;
            }
            response.toResponse()
                    .timeout(ERROR_BODY_TIMEOUT)
                    .beforeFinally(client::release)
                    .toCompletionStage()
                    .whenComplete(this::handleErrorResponse);
        }

        @Override
        public void onError(Throwable failure) {
            client.release();
            failureHandler.handleExchangeFailure(attempt, failure);
        }

        private void handleErrorResponse(HttpResponse response, Throwable failure) {
            if (failure != null) {
                failureHandler.handleLostAttempt(attempt, failure.toString());
                return;
            }
            byte[] body = TargetJson.body(response);
            failureHandler.handleErrorResponse(attempt, response.status().code(), response.headers(), body, attach);
        }
    }
}
