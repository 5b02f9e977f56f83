package org.amaranthlock.standin.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.amaranthlock.standin.fleet.EngineBatch.KvCopy;
import org.jboss.logging.Logger;

/** Sends copies of a request's memory to another engine, which keeps them under the request's id. */
final class CopySender {
    /** Path of a call between stand-ins; the platform's page does not say how engines talk to each other. */
    static final String PATH = "/stand-in/copies/";

    private static final Logger LOG = Logger.getLogger(CopySender.class);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String holderAddress;
    private final String requestId;

    /** Creates a sender for the request {@code id} whose copy is kept at {@code holder}, IP:PORT. */
    CopySender(String holder, String id) {
        this.holderAddress = holder;
        this.requestId = id;
    }

    void send(KvCopy copy) {
        call(HttpRequest.newBuilder(uri())
                .PUT(BodyPublishers.noBody())
                .header("X-Copy-Tokens", Integer.toString(copy.tokens()))
                .header("X-Copy-Events", Integer.toString(copy.eventCount())));
    }

    /** Frees the copy once the request has ended. */
    void removeCopy() {
        call(HttpRequest.newBuilder(uri()).DELETE());
    }

    private void call(HttpRequest.Builder request) {
        try {
            client.send(request.timeout(CALL_TIMEOUT).build(), BodyHandlers.discarding());
        } catch (IOException e) {
            LOG.debugf("The copy of %s did not reach %s: %s", requestId, holderAddress, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private URI uri() {
        return URI.create("http://" + holderAddress + PATH + requestId);
    }
}
