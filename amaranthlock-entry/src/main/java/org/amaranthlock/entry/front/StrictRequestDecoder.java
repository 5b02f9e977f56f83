package org.amaranthlock.entry.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.amaranthlock.platform.SingleLengthHeaders;

/**
 * HTTP request decoder that rejects requests with several lengths, or with a length and {@code Transfer-Encoding}, because
 * two receivers could disagree on the end of such a request and take part of a body for another request (request
 * smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setHeadersFactory(SingleLengthHeaders.factory()));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
