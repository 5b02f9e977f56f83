package org.amaranthlock.entry.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those whose length is told in two ways, because two readers could find different ends
 * for them and take part of a body for a request.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 16 * 1024;

    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
