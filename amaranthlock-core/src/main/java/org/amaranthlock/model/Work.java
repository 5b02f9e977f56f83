package org.amaranthlock.model;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Work that a target executes for a request. */
public sealed interface Work {
    /**
     * Text generation by a model.
     *
     * @param model name of the model
     * @param adapter name of the adapter, or empty if none is used
     * @param prompt the prompt
     * @param prefixHashes hashes of prefixes of the prompt, shortest first
     * @param maxTokens maximum number of tokens in the response
     * @param seed random seed for sampling
     */
    record Generation(String model, String adapter, String prompt, List<Long> prefixHashes, int maxTokens, long seed)
            implements Work {
        public Generation {
            Arguments.requireText(model, "model");
            Objects.requireNonNull(adapter, "adapter");
            Objects.requireNonNull(prompt, "prompt");
            prefixHashes = List.copyOf(prefixHashes);
            Arguments.requirePositive(maxTokens, "maxTokens");
        }
    }

    /**
     * Request to a plain HTTP service.
     *
     * @param method HTTP method
     * @param path path below the service, including the leading slash and the query string
     * @param headers end-to-end headers, with lower-case names
     * @param body the body; must not be modified after construction
     */
    record ServiceCall(String method, String path, Map<String, String> headers, byte[] body) implements Work {
        public ServiceCall {
            Arguments.requireText(method, "method");
            Arguments.requireText(path, "path");
            headers = Map.copyOf(headers);
            Objects.requireNonNull(body, "body");
        }
    }
}
