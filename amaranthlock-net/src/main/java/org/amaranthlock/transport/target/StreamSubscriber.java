package org.amaranthlock.transport.target;

import com.fasterxml.jackson.databind.JsonNode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.coordination.RequestEvent.StreamEnded;
import org.amaranthlock.coordination.RequestEvent.TokensReceived;
import org.amaranthlock.protocol.MalformedDataException;
import org.amaranthlock.transport.target.ServerSentEventParser.ServerSentEvent;

/** Publishes the body of an engine stream as events; consecutive tokens of one chunk are published as one event. */
final class StreamSubscriber implements PublisherSource.Subscriber<Buffer> {
    private final HttpAttempt attempt;
    private final TargetFailureHandler failureHandler;
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private final List<String> pendingTokens = new ArrayList<>();
    private PublisherSource.Subscription subscription;
    private int firstPendingIndex;

    StreamSubscriber(HttpAttempt attempt, TargetFailureHandler failureHandler) {
        this.attempt = attempt;
        this.failureHandler = failureHandler;
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription newSubscription) {
        subscription = newSubscription;
        attempt.setExchange(newSubscription);
        newSubscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(Buffer chunk) {
        if (chunk == null) {
            return;
        }
        try {
            for (ServerSentEvent event : parser.feed(TargetJson.bytes(chunk))) {
                handleEvent(event);
            }
            publishPendingTokens();
        } catch (MalformedDataException e) {
            publishPendingTokens();
            failureHandler.handleLostAttempt(attempt, "malformed stream: " + e.getMessage());
            subscription.cancel();
        }
    }

    @Override
    public void onError(Throwable failure) {
        failureHandler.handleLostAttempt(attempt, failure.toString());
    }

    @Override
    public void onComplete() {
        failureHandler.handleLostAttempt(attempt, "the stream ended without a done event");
    }

    private void handleEvent(ServerSentEvent event) {
        if (event.type().equals("message")) {
            addToken(TargetJson.parse(event.data()));
        } else if (event.type().equals("done")) {
            JsonNode end = TargetJson.parse(event.data());
            publishPendingTokens();
            attempt.complete(new StreamEnded(
                    attempt.id(), end.path("reason").asText("stop"), (int) TargetJson.longField(end, "count")));
        }
    }

    private void addToken(JsonNode token) {
        int index = (int) TargetJson.longField(token, "i");
        if (!token.path("t").isTextual()) {
            throw new MalformedDataException("token field t must be a string");
        }
        if (!pendingTokens.isEmpty() && index != firstPendingIndex + pendingTokens.size()) {
            publishPendingTokens();
        }
        if (pendingTokens.isEmpty()) {
            firstPendingIndex = index;
        }
        pendingTokens.add(token.path("t").textValue());
    }

    private void publishPendingTokens() {
        if (!pendingTokens.isEmpty()) {
            attempt.publish(new TokensReceived(attempt.id(), firstPendingIndex, pendingTokens));
            pendingTokens.clear();
        }
    }
}
