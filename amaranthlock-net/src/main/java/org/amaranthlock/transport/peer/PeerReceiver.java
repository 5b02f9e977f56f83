package org.amaranthlock.transport.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthlock.coordination.Event.PeerReceived;
import org.amaranthlock.protocol.HandshakeMessage.Hello;
import org.amaranthlock.protocol.HybridClock;
import org.amaranthlock.protocol.MalformedDataException;
import org.amaranthlock.protocol.PeerFrame;
import org.amaranthlock.protocol.PeerMessageCodec;
import org.amaranthlock.transport.EventSink;
import org.jboss.logging.Logger;

/** Publishes the messages of an accepted connection as events and echoes the peer's probes, which are empty frames. */
final class PeerReceiver extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = Logger.getLogger(PeerReceiver.class);

    private final PeerMessageCodec codec;
    private final EventSink sink;
    private final HybridClock clock;
    private final AtomicLong skippedFrames;
    private Hello peerHello;

    PeerReceiver(PeerMessageCodec codec, EventSink sink, HybridClock clock, AtomicLong skippedFrames) {
        this.codec = codec;
        this.sink = sink;
        this.clock = clock;
        this.skippedFrames = skippedFrames;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof HandshakeHandler.Authenticated authenticated) {
            peerHello = authenticated.peerHello();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
        if (!bytes.isReadable()) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER);
            return;
        }
        try {
            Optional<PeerFrame> frame = codec.decode(ByteBufUtil.getBytes(bytes));
            if (frame.isPresent()) {
                receive(context, frame.get());
            } else {
                skippedFrames.incrementAndGet();
            }
        } catch (MalformedDataException e) {
            LOG.warnf(e, "Closed the connection from %s: malformed frame", peerHello.sender());
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            LOG.warnf("Closed the connection with %s: %s", context.channel().remoteAddress(), cause.getMessage());
        } else {
            LOG.debugf(cause, "Connection with %s failed", context.channel().remoteAddress());
        }
        context.close();
    }

    private void receive(ChannelHandlerContext context, PeerFrame frame) {
        if (!frame.sender().equals(peerHello.sender()) || frame.incarnation() != peerHello.incarnation()) {
            LOG.warnf(
                    "Closed the connection from %s: a frame carries another sender (%s) or incarnation",
                    peerHello.sender(), frame.sender());
            context.close();
            return;
        }
        clock.observe(frame.hybridTime());
        sink.accept(new PeerReceived(frame.sender(), frame.message()));
    }
}
