package org.amaranthlock.coordination.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.model.TargetId;

/** Finds streams that make no progress. */
final class StallDetector {
    /** Time beyond the predicted prefill in which the first token must arrive. */
    static final long FIRST_TOKEN_GRACE_MILLIS = 2000;

    /** Bound for one stream: short pauses of a batch stay below it. */
    static final long STREAM_STALL_MILLIS = 600;

    static final int STREAM_STALL_TOKENS = 8;

    /** Bound when all streams of a target are silent, which is stronger evidence than one silent stream. */
    static final long TARGET_STALL_MILLIS = 400;

    static final int TARGET_STALL_TOKENS = 6;

    private StallDetector() {}

    /** Returns the streams that count as lost. */
    static List<ActiveStream> findStalled(List<ActiveStream> streams, long now) {
        Map<TargetId, List<ActiveStream>> started = new LinkedHashMap<>();
        for (ActiveStream stream : streams) {
            if (!stream.isAwaitingFirstToken()) {
                started.computeIfAbsent(stream.target().id(), id -> new ArrayList<>())
                        .add(stream);
            }
        }
        List<ActiveStream> stalled = new ArrayList<>();
        for (ActiveStream stream : streams) {
            if (stream.isFirstTokenOverdue(now)) {
                stalled.add(stream);
            }
        }
        for (List<ActiveStream> ofTarget : started.values()) {
            boolean targetSilent = ofTarget.size() > 1
                    && ofTarget.stream()
                            .allMatch(stream -> hasStalled(stream, TARGET_STALL_MILLIS, TARGET_STALL_TOKENS, now));
            for (ActiveStream stream : ofTarget) {
                if (targetSilent || hasStalled(stream, STREAM_STALL_MILLIS, STREAM_STALL_TOKENS, now)) {
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
