package org.amaranthlock.entry.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Notifies a client connection of received bytes before they are decoded. */
final class BytesReceivedHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnectionHandler connection;

    BytesReceivedHandler(ClientConnectionHandler connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        connection.onBytesReceived();
        context.fireChannelRead(message);
    }
}
