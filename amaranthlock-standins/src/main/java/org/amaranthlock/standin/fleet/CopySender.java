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

/** Sends copies of a request's KV cache to another engine, which stores them under the request id. */
final class CopySender {
    /** Path of the calls between engines, chosen here because the platform does not document these calls. */
    static final String PATH = "/stand-in/copies/";

    private static final Logger LOG = Logger.getLogger(CopySender.class);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String backupTargetAddress;
    private final String requestId;

    /**
     * Creates a sender for the copies of one request.
     *
     * @param backupTargetAddress address of the engine that stores the copies, IP:PORT
     * @param requestId id of the request
     */
    CopySender(String backupTargetAddress, String requestId) {
        this.backupTargetAddress = backupTargetAddress;
        this.requestId = requestId;
    }

    /** Sends a copy, which replaces the previous one. A call that fails or is rejected is not retried. */
    void send(KvCopy copy) {
        call(HttpRequest.newBuilder(uri())
                .PUT(BodyPublishers.noBody())
                .header("X-Copy-Tokens", Integer.toString(copy.tokens()))
                .header("X-Copy-Events", Integer.toString(copy.eventCount())));
    }

    /** Removes the copy from the other engine; to be called when the request has ended. */
    void removeCopy() {
        call(HttpRequest.newBuilder(uri()).DELETE());
    }

    private void call(HttpRequest.Builder request) {
        try {
            client.send(request.timeout(CALL_TIMEOUT).build(), BodyHandlers.discarding());
        } catch (IOException e) {
            LOG.debugf(
                    "Could not update or remove the copy of request %s at engine %s: %s",
                    requestId, backupTargetAddress, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private URI uri() {
        return URI.create("http://" + backupTargetAddress + PATH + requestId);
    }
}
