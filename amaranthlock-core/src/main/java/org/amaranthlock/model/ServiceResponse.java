package org.amaranthlock.model;

import java.util.Map;
import java.util.Objects;

/**
 * Response of a plain HTTP service.
 *
 * @param status HTTP status
 * @param headers end-to-end headers, with lower-case names
 * @param body the body; must not be modified after construction
 */
public record ServiceResponse(int status, Map<String, String> headers, byte[] body) {
    public ServiceResponse {
        Arguments.requirePositive(status, "status");
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
