package org.amaranthlock.coordination.streamversion;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.amaranthlock.model.Arguments;

/**
 * Identifies an event stream by a hash of the id of the client's attempt that brought its first event.
 *
 * <p>Hosts exchange the hash instead of the id, whose length the client chooses; it is part of their messages.
 *
 * @param value the hash
 */
public record StreamKey(long value) {
    /** Returns the key of the stream that an attempt of a client began. */
    public static StreamKey of(String requestId) {
        Arguments.requireText(requestId, "request id");
        return new StreamKey(Hashing.murmur3_128()
                .hashString(requestId, StandardCharsets.UTF_8)
                .asLong());
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
