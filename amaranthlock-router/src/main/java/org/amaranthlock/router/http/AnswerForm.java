package org.amaranthlock.router.http;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.amaranthlock.model.RequestId;

/** Form of the answer that a caller asked for. */
sealed interface AnswerForm {
    /** Bound on the bytes of one answer that wait for a slow reader or, without streaming, for the end. */
    int BUFFER_LIMIT_BYTES = 1 << 20;

    /** OpenAI chunks as server-sent events. */
    record Streamed(CompletionCall call, long createdSeconds, OptionalInt resumeAt) implements AnswerForm {}

    /** One OpenAI completion object. */
    record Whole(CompletionCall call, long createdSeconds) implements AnswerForm {}

    /** Answer of a plain service. */
    record Proxied() implements AnswerForm {}

    /** Returns a writer that writes on {@code executor}; {@code onGone} is called when the reader leaves before the end. */
    default AnswerWriter open(RequestId id, CompletableFuture<Reply> reply, Executor executor, Runnable onGone) {
        return switch (this) {
            case Streamed(var call, var created, var resumeAt) ->
                new StreamedAnswer(
                        id,
                        new OpenAiFormat(id, call, created),
                        resumeAt,
                        call.includeUsage(),
                        reply,
                        executor,
                        onGone);
            case Whole(var call, var created) -> new WholeAnswer(id, new OpenAiFormat(id, call, created), reply);
            case Proxied() -> new ProxiedAnswer(reply);
        };
    }
}
