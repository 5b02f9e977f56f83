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
 * Performs the mutual authentication of a connection and then removes itself from the pipeline.
 *
 * <p>On success it fires {@link Authenticated}; on a protocol violation or after a timeout it closes the connection.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    /** Bounds how long an unauthenticated connection holds resources. */
    static final long HANDSHAKE_TIMEOUT_MILLIS = 2_000;

    private static final Logger LOG = Logger.getLogger(HandshakeHandler.class);

    private final PeerIdentity identity;
    private final boolean isInitiator;
    private final HandshakeCodec codec = new HandshakeCodec();
    private final Hello localHello;
    private Hello peerHello;
    private ScheduledFuture<?> timeout;

    /** Pipeline event that reports that the peer has proved that it holds the cluster key. */
    record Authenticated(Hello peerHello) {}

    HandshakeHandler(PeerIdentity identity, boolean isInitiator) {
        this.identity = identity;
        this.isInitiator = isInitiator;
        this.localHello = identity.newHello();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        timeout = context.executor().schedule(() -> context.close(), HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        send(context, localHello);
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
        if (peerHello != null || hello.challenge().length != ClusterKey.challengeLength()) {
            reject(context, "a second hello message, or one with a challenge of the wrong length");
            return;
        }
        peerHello = hello;
        send(context, new Proof(identity.key().computeProof(localHello, hello, isInitiator)));
    }

    private void receive(ChannelHandlerContext context, Proof proof) {
        if (peerHello == null || !identity.key().verifyProof(proof.mac(), peerHello, localHello, !isInitiator)) {
            reject(context, "authentication failed; configure the same cluster key for all routers");
            return;
        }
        cancelTimeout();
        context.fireUserEventTriggered(new Authenticated(peerHello));
        context.pipeline().remove(this);
    }

    private void send(ChannelHandlerContext context, HandshakeMessage message) {
        context.writeAndFlush(Unpooled.wrappedBuffer(codec.encode(message)));
    }

    private static void reject(ChannelHandlerContext context, String reason) {
        LOG.warnf(
                "Closed the connection with %s during the handshake: %s",
                context.channel().remoteAddress(), reason);
        context.close();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
