package org.amaranthlock.entry.peer;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.amaranthlock.coordination.forwarding.Rejection;
import org.amaranthlock.coordination.forwarding.TargetResponse;
import org.amaranthlock.coordination.forwarding.TargetStatements;
import org.amaranthlock.platform.ClientRequest;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for the parts of peer messages that concern requests passed to another host. */
final class RelayCodec {
    private static final long NO_RETRY = -1;

    private RelayCodec() {}

    static void packRequest(MessageBufferPacker packer, ClientRequest request) throws IOException {
        packer.packString(request.method().name());
        packer.packString(request.uri());
        packHeaders(packer, request.headers().entries());
        packer.packBoolean(request.hasBody());
        packBytes(packer, request.body());
    }

    static ClientRequest unpackRequest(MessageUnpacker unpacker) throws IOException {
        HttpMethod method = HttpMethod.valueOf(unpacker.unpackString());
        String uri = unpacker.unpackString();
        HttpHeaders headers = new DefaultHttpHeaders();
        unpackHeaders(unpacker).forEach(header -> headers.add(header.getKey(), header.getValue()));
        return new ClientRequest(method, uri, headers, unpacker.unpackBoolean(), unpackBytes(unpacker));
    }

    /** Packs a response of a target; its limit stays with the host that received it. */
    static void packResponse(MessageBufferPacker packer, TargetResponse response) throws IOException {
        packer.packInt(response.status());
        packHeaders(packer, response.headers());
        packer.packBoolean(response.stamped());
        packer.packBoolean(response.notRun());
        packBytes(packer, response.body());
    }

    static TargetResponse unpackResponse(MessageUnpacker unpacker) throws IOException {
        return new TargetResponse(
                unpacker.unpackInt(),
                unpackHeaders(unpacker),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                TargetStatements.NONE,
                unpackBytes(unpacker));
    }

    static void packRejection(MessageBufferPacker packer, Rejection rejection) throws IOException {
        packer.packInt(rejection.status());
        packer.packLong(rejection.retryAfterMillis().orElse(NO_RETRY));
        packer.packString(rejection.reason());
    }

    static Rejection unpackRejection(MessageUnpacker unpacker) throws IOException {
        int status = unpacker.unpackInt();
        long retryAfterMillis = unpacker.unpackLong();
        OptionalLong retryAfter =
                retryAfterMillis == NO_RETRY ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
        return new Rejection(status, retryAfter, unpacker.unpackString());
    }

    static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        int length = unpacker.unpackBinaryHeader();
        if (length > PeerConnections.MAX_FRAME_BYTES) {
            throw new IllegalArgumentException("binary field of " + length + " bytes is longer than a frame");
        }
        return unpacker.readPayload(length);
    }

    private static void packHeaders(MessageBufferPacker packer, List<Map.Entry<String, String>> headers)
            throws IOException {
        packer.packArrayHeader(headers.size());
        for (Map.Entry<String, String> header : headers) {
            packer.packString(header.getKey());
            packer.packString(header.getValue());
        }
    }

    private static List<Map.Entry<String, String>> unpackHeaders(MessageUnpacker unpacker) throws IOException {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        int count = EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
        for (int remaining = count; remaining > 0; remaining--) {
            headers.add(Map.entry(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }
}
