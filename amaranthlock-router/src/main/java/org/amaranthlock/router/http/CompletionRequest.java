package org.amaranthlock.router.http;

import java.util.OptionalLong;
import org.amaranthlock.model.ServiceName;

/**
 * Parsed completion request of the OpenAI API.
 *
 * @param chat whether it is a chat completion
 * @param service service named by the field {@code model}
 * @param adapter adapter named by the field {@code model}, empty if none
 * @param prompt the complete prompt
 * @param maxTokens maximum number of generated tokens
 * @param seed sampling seed, if given
 * @param stream whether the response is requested as server-sent events
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
    /** Returns the value of the field {@code model}. */
    String model() {
        return adapter.isEmpty() ? service.value() : service + "/" + adapter;
    }
}
