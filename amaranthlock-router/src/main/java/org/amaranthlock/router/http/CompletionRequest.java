package org.amaranthlock.router.http;

import java.util.OptionalLong;
import org.amaranthlock.model.ServiceName;

/**
 * Parsed completion request of the OpenAI form.
 *
 * @param chat whether it is a chat completion
 * @param service the service that the field {@code model} names
 * @param adapter the adapter that it names, empty if none
 * @param prompt the prompt as one text
 * @param maxTokens upper bound on the answer's tokens
 * @param seed seed of the sampling, if given
 * @param stream whether the answer is wanted as server-sent events
 * @param includeUsage whether a stream ends with the token counts
 */
record CompletionRequest(
        boolean chat,
        ServiceName service,
        String adapter,
        String prompt,
        int maxTokens,
        OptionalLong seed,
        boolean stream,
        boolean includeUsage) {
    /** Returns the text of the field {@code model}. */
    String model() {
        return adapter.isEmpty() ? service.value() : service + "/" + adapter;
    }
}
