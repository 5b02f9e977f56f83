package org.amaranthlock.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Optional;

/** Client of the store, as used by workers and the operator; a write has been acknowledged when its call returns. */
public final class StoreClient {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final HttpClient client = HttpClient.newHttpClient();
    private final String address;

    /** Creates a client of the store at {@code address}, IP:PORT. */
    public StoreClient(String address) {
        this.address = address;
    }

    /** Creates or replaces an object. */
    public void put(String kind, String name, JsonNode spec) throws IOException, InterruptedException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        object.putObject("metadata").put("name", name);
        object.set("spec", spec);
        requireStatus(OK, call(request(kind, name).PUT(BodyPublishers.ofString(object.toString()))), kind + "/" + name);
    }

    /** Removes an object. */
    public void remove(String kind, String name) throws IOException, InterruptedException {
        requireStatus(OK, call(request(kind, name).DELETE()), kind + "/" + name);
    }

    /** Returns the content of an object; empty if the object does not exist. */
    public Optional<JsonNode> find(String kind, String name) throws IOException, InterruptedException {
        return read(kind, name).map(object -> object.path("spec"));
    }

    /** Returns the status of an object, which has no fields before it is written; empty if the object does not exist. */
    public Optional<JsonNode> findStatus(String kind, String name) throws IOException, InterruptedException {
        return read(kind, name).map(object -> object.path("status"));
    }

    private Optional<JsonNode> read(String kind, String name) throws IOException, InterruptedException {
        HttpResponse<String> response = call(request(kind, name).GET());
        if (response.statusCode() == NOT_FOUND) {
            return Optional.empty();
        }
        requireStatus(OK, response, kind + "/" + name);
        return Optional.of(new ObjectMapper().readTree(response.body()));
    }

    private HttpRequest.Builder request(String kind, String name) {
        return HttpRequest.newBuilder(URI.create("http://" + address + "/api/objects/" + kind + "/" + name));
    }

    private HttpResponse<String> call(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private void requireStatus(int status, HttpResponse<String> response, String object) {
        if (response.statusCode() != status) {
            throw new IllegalStateException("The store at " + address + " returned status " + response.statusCode()
                    + " for " + object + "; check its address and its log.");
        }
    }
}
