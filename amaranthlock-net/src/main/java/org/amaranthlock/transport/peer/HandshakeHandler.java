package org.amaranthlock.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.protocol.HandshakeCodec;
import org.amaranthlock.protocol.HandshakeMessage;
import org.amaranthlock.protocol.HandshakeMessage.Hello;
import org.amaranthlock.protocol.HandshakeMessage.Proof;
import org.amaranthlock.protocol.MalformedDataException;
import org.jboss.logging.Logger;

/**
 * Authenticates both sides of a connection and then removes itself from the pipeline.
 *
 * <p>On success it fires {@link Authenticated}; on any deviation or after a timeout it closes the connection.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    /** Bounds how long a connection without the key holds resources. */
    static final long TIMEOUT_MILLIS = 2_000;

    private static final Logger LOG = Logger.getLogger(HandshakeHandler.class);

    private final PeerIdentity identity;
    private final boolean dialed;
    private final HandshakeCodec codec = new HandshakeCodec();
    private final Hello own;
    private Hello other;
    private ScheduledFuture<?> timeout;

    /** Pipeline event: the other side holds the cluster key. */
    record Authenticated(Hello peer) {}

    HandshakeHandler(PeerIdentity identity, boolean dialed) {
        this.identity = identity;
        this.dialed = dialed;
        this.own = identity.newHello();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        timeout = context.executor().schedule(() -> context.close(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        send(context, own);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimeout();
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        HandshakeMessage message;
        try {
            message = codec.decode(ByteBufUtil.getBytes(frame));
        } catch (MalformedDataException e) {
            reject(context, e.getMessage());
            return;
        }
        switch (message) {
            case Hello hello -> receive(context, hello);
            case Proof proof -> receive(context, proof);
        }
    }

    private void receive(ChannelHandlerContext context, Hello hello) {
        if (other != null || hello.challenge().length != ClusterKey.challengeBytes()) {
            reject(context, "unexpected hello");
            return;
        }
        other = hello;
        send(context, new Proof(identity.key().proof(own, hello, dialed)));
    }

    private void receive(ChannelHandlerContext context, Proof proof) {
        if (other == null || !identity.key().accepts(proof.mac(), other, own, !dialed)) {
            reject(context, "wrong proof; give all routers the same cluster key");
            return;
        }
        cancelTimeout();
        context.fireUserEventTriggered(new Authenticated(other));
        context.pipeline().remove(this);
    }

    private void send(ChannelHandlerContext context, HandshakeMessage message) {
        context.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(message)));
    }

    private static void reject(ChannelHandlerContext context, String reason) {
        LOG.warnf("Closed the connection with %s: %s", context.channel().remoteAddress(), reason);
        context.close();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
