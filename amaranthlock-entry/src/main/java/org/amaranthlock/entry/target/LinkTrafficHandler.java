package org.amaranthlock.entry.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.Objects;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.region.LinkUse;
import org.amaranthlock.coordination.region.RegionLinks;

/** Counts the bytes of a connection to a target, at the end of the pipeline that is next to the network. */
final class LinkTrafficHandler extends ChannelDuplexHandler {
    private final RegionLinks links;
    private final EntryTarget target;

    LinkTrafficHandler(RegionLinks links, EntryTarget target) {
        this.links = Objects.requireNonNull(links, "links");
        this.target = Objects.requireNonNull(target, "target");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        long bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        links.recordBytes(target.service(), bytes);
        links.regions()
                .otherRegion(target.failureDomain())
                .ifPresent(region -> links.counters().addReceived(region, LinkUse.ANSWERS, bytes));
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        long bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        links.recordBytes(target.service(), bytes);
        links.regions()
                .otherRegion(target.failureDomain())
                .ifPresent(region -> links.counters().addSent(region, LinkUse.ANSWERS, bytes));
        context.write(message, promise);
    }
}
