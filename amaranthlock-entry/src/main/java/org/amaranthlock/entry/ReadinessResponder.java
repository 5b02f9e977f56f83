package org.amaranthlock.entry;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.Consumer;
import org.amaranthlock.entry.front.StatusServer.StatusRequest;
import org.amaranthlock.entry.front.StatusServer.StatusResponder;
import org.amaranthlock.entry.front.StatusServer.StatusResponse;
import org.amaranthlock.platform.ReadinessCheck;

/** Responds to the readiness check of the load balancer. */
final class ReadinessResponder implements StatusResponder {
    private final RequestForwarder requestForwarder;

    ReadinessResponder(RequestForwarder requestForwarder) {
        this.requestForwarder = Objects.requireNonNull(requestForwarder, "request forwarder");
    }

    @Override
    public void respond(StatusRequest request, Consumer<StatusResponse> reply) {
        if (!request.uri().startsWith(ReadinessCheck.PATH)) {
            reply.accept(new StatusResponse(404, "not found\n".getBytes(StandardCharsets.US_ASCII)));
            return;
        }
        boolean isReady = requestForwarder.isReady();
        byte[] text = (isReady ? "ready\n" : "not ready\n").getBytes(StandardCharsets.US_ASCII);
        reply.accept(new StatusResponse(isReady ? 200 : 503, text));
    }
}
