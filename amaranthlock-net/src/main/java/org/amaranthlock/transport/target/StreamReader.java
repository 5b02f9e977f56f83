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

/** Turns the body of an engine stream into events; the tokens of one chunk become one event. */
final class StreamReader implements PublisherSource.Subscriber<Buffer> {
    private final Attempt attempt;
    private final TargetFailures failures;
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private final List<String> tokens = new ArrayList<>();
    private PublisherSource.Subscription subscription;
    private int firstIndex;

    StreamReader(Attempt attempt, TargetFailures failures) {
        this.attempt = attempt;
        this.failures = failures;
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription newSubscription) {
        subscription = newSubscription;
        attempt.exchange(newSubscription);
        newSubscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(Buffer chunk) {
        if (chunk == null) {
            return;
        }
        try {
            for (ServerSentEvent event : parser.feed(TargetJson.bytes(chunk))) {
                handle(event);
            }
            flush();
        } catch (MalformedDataException e) {
            flush();
            failures.lost(attempt, "the stream can't be read: " + e.getMessage());
            subscription.cancel();
        }
    }

    @Override
    public void onError(Throwable failure) {
        failures.lost(attempt, failure.toString());
    }

    @Override
    public void onComplete() {
        failures.lost(attempt, "the stream ended without its end event");
    }

    private void handle(ServerSentEvent event) {
        if (event.type().equals("message")) {
            token(TargetJson.read(event.data()));
        } else if (event.type().equals("done")) {
            JsonNode end = TargetJson.read(event.data());
            flush();
            attempt.end(new StreamEnded(
                    attempt.id(), end.path("reason").asText("stop"), (int) TargetJson.whole(end, "count")));
        }
    }

    private void token(JsonNode token) {
        int index = (int) TargetJson.whole(token, "i");
        if (!token.path("t").isTextual()) {
            throw new MalformedDataException("field t must be text");
        }
        if (!tokens.isEmpty() && index != firstIndex + tokens.size()) {
            flush();
        }
        if (tokens.isEmpty()) {
            firstIndex = index;
        }
        tokens.add(token.path("t").textValue());
    }

    private void flush() {
        if (!tokens.isEmpty()) {
            attempt.raise(new TokensReceived(attempt.id(), firstIndex, tokens));
            tokens.clear();
        }
    }
}
