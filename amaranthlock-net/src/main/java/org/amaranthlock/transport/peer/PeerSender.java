package org.amaranthlock.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;

/** Tells a {@link PeerLink} about the state of its connection; after the handshake the other side only returns probes. */
final class PeerSender extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = Logger.getLogger(PeerSender.class);

    private final PeerLink link;

    PeerSender(PeerLink link) {
        this.link = link;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof HandshakeHandler.Authenticated authenticated) {
            link.authenticated(context.channel(), authenticated.peer().sender());
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        link.drain();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.closed(context.channel());
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (!frame.isReadable()) {
            link.echoed(context.channel());
            return;
        }
        LOG.warnf("Closed the connection to %s, because it sent a frame in the wrong direction", link.host());
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debugf(cause, "The connection to %s broke", link.host());
        context.close();
    }
}
