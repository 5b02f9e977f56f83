package org.amaranthlock.entry.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a client connection when bytes arrive, before they are decoded. */
final class FirstBytesHandler extends ChannelInboundHandlerAdapter {
    private final FrontConnection connection;

    FirstBytesHandler(FrontConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        connection.bytesArrived();
        context.fireChannelRead(message);
    }
}
