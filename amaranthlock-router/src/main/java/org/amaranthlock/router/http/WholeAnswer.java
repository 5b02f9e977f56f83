package org.amaranthlock.router.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Refusal;
import org.amaranthlock.model.RequestId;

/** Answer as one JSON object, sent at the end. */
final class WholeAnswer implements AnswerWriter {
    private final RequestId id;
    private final OpenAiFormat format;
    private final CompletableFuture<Reply> reply;
    private final StringBuilder text = new StringBuilder();
    private int tokens;
    private String problem = "";

    WholeAnswer(RequestId id, OpenAiFormat format, CompletableFuture<Reply> reply) {
        this.id = id;
        this.format = format;
        this.reply = reply;
    }

    @Override
    public boolean deliver(RequestId answer, int firstIndex, List<String> newTokens) {
        if (firstIndex != tokens) {
            problem = "tokens from position " + firstIndex + " were to be sent, but position " + tokens + " is next";
            return false;
        }
        newTokens.forEach(text::append);
        tokens += newTokens.size();
        if (text.length() > AnswerForm.BUFFER_LIMIT_BYTES) {
            problem = "the answer is longer than " + AnswerForm.BUFFER_LIMIT_BYTES + " characters";
            return false;
        }
        return true;
    }

    @Override
    public String problem() {
        return problem;
    }

    @Override
    public void complete(String reason, OutcomeRecord outcome) {
        reply.complete(Reply.json(200, format.whole(text.toString(), reason, tokens))
                .with(Problems.REQUEST_ID_HEADER, id.value())
                .with(Problems.FATE_HEADER, Problems.text(outcome.executionStatus())));
    }

    @Override
    public void fail(Refusal refusal) {
        reply.complete(Problems.reply(refusal, Optional.of(id)));
    }

    @Override
    public void abort() {
        fail(new Refusal(
                ErrorCode.PAYLOAD_TOO_LARGE,
                ExecutionStatus.RAN,
                "The answer can't be sent in one piece; ask for it with \"stream\": true.",
                OptionalLong.empty()));
    }

    @Override
    public boolean started() {
        return false;
    }

    @Override
    public int tokens() {
        return tokens;
    }
}
