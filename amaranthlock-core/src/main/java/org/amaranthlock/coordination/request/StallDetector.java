package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.model.TargetId;

/** Detects streams that make no progress. */
final class StallDetector {
    /** Time after the predicted end of the prefill in which the first token must arrive. */
    static final long FIRST_TOKEN_GRACE_MILLIS = 2000;

    /** Minimum time without a token after which a single stream has stalled; short pauses of a batch stay below it. */
    static final long STREAM_STALL_MILLIS = 600;

    /** The same limit as a multiple of the stream's token latency; the longer of the two applies. */
    static final int STREAM_STALL_TOKENS = 8;

    /** Minimum time if all streams of a target have stalled, which is stronger evidence than a single stream. */
    static final long TARGET_STALL_MILLIS = 400;

    /** The same limit as a multiple of the stream's token latency; the longer of the two applies. */
    static final int TARGET_STALL_TOKENS = 6;

    private StallDetector() {}

    /** Returns the streams that are considered lost. */
    static List<ActiveStream> findStalled(List<ActiveStream> streams, long now) {
        Map<TargetId, List<ActiveStream>> startedByTarget = new LinkedHashMap<>();
        for (ActiveStream stream : streams) {
            if (!stream.isAwaitingFirstToken()) {
                startedByTarget
                        .computeIfAbsent(stream.target().id(), id -> new ArrayList<>())
                        .add(stream);
            }
        }
        List<ActiveStream> stalled = new ArrayList<>();
        for (ActiveStream stream : streams) {
            if (stream.isFirstTokenOverdue(now)) {
                stalled.add(stream);
            }
        }
        for (List<ActiveStream> targetStreams : startedByTarget.values()) {
            boolean targetStalled = targetStreams.size() > 1
                    && targetStreams.stream()
                            .allMatch(stream -> hasStalled(stream, TARGET_STALL_MILLIS, TARGET_STALL_TOKENS, now));
            for (ActiveStream stream : targetStreams) {
                if (targetStalled || hasStalled(stream, STREAM_STALL_MILLIS, STREAM_STALL_TOKENS, now)) {
                    stalled.add(stream);
                }
            }
        }
        return stalled;
    }

    private static boolean hasStalled(ActiveStream stream, long floorMillis, int tokens, long now) {
        return stream.millisSinceProgress(now) > Math.max(floorMillis, tokens * stream.tokenLatencyMillis());
    }
}
