package org.amaranthlock.model;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/** What a request asks a target to do. */
public sealed interface Work {
    /**
     * Generation of text by a model.
     *
     * @param model name of the model
     * @param adapter name of the adapter, empty if none
     * @param prompt the prompt
     * @param prefixHashes hashes of growing prefixes of the prompt, shortest first
     * @param maxTokens upper bound on the answer's tokens
     * @param seed seed of the sampling
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
     * Call of a plain HTTP service.
     *
     * @param method HTTP method
     * @param path path below the service, starting with a slash, with the query
     * @param headers end-to-end headers, lower-case names
     * @param body the body; must not be changed by anyone after construction
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
