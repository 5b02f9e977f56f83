package org.amaranthlock.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jboss.logging.Logger;

/**
 * Notifies a {@link PeerLink} of the state of its connection.
 *
 * <p>After the handshake, the peer sends nothing but replies to probes on this connection.
 */
final class PeerSender extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = Logger.getLogger(PeerSender.class);

    private final PeerLink link;

    PeerSender(PeerLink link) {
        this.link = link;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof HandshakeHandler.Authenticated authenticated) {
            link.onAuthenticated(context.channel(), authenticated.peerHello().sender());
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        link.writeQueuedFrames();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        link.onClosed(context.channel());
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (!frame.isReadable()) {
            link.onProbeReply(context.channel());
            return;
        }
        LOG.warnf("Closed the connection to %s: the peer sent a frame that is not a probe reply", link.host());
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debugf(cause, "Connection to %s failed", link.host());
        context.close();
    }
}
