package org.amaranthlock.entry;

import io.netty.channel.EventLoop;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.forwarding.Mechanism;
import org.amaranthlock.coordination.region.LinkUse;
import org.amaranthlock.coordination.region.RegionLinks;
import org.amaranthlock.coordination.region.RegionMap;
import org.amaranthlock.coordination.region.StoreLink;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerConnections;
import org.amaranthlock.entry.settings.EntrySettings;
import org.amaranthlock.model.Region;
import org.amaranthlock.platform.StoreTrafficListener;

/** Connects the links between regions with the connections of an entry daemon. */
final class RegionSetup {
    private static final long PUBLISH_INTERVAL_MILLIS = 500;

    private RegionSetup() {}

    /** Creates the links that the settings name; none if they name one region or the mechanism is off. */
    static RegionLinks createLinks(EntrySettings settings, DecisionLog log, EntryMetrics metrics) {
        RegionMap map =
                new RegionMap(settings.failureDomain(), settings.regions().byDomain());
        boolean used = settings.mechanisms().uses(Mechanism.REGION_LINKS)
                && !map.otherRegions().isEmpty();
        return used
                ? new RegionLinks(map, settings.regions().linkMbps(), new RegionLinkLog(log, metrics))
                : RegionLinks.none();
    }

    /** Returns a listener that counts the frames to hosts of other regions. */
    static PeerConnections.SentFrameListener countSentFrames(RegionLinks links) {
        return (domain, message, bytes) -> links.regions()
                .otherRegion(domain)
                .ifPresent(region -> links.counters().addSent(region, use(message), bytes));
    }

    /** Returns a listener that counts calls to a store of another region, and measures where the store is. */
    static StoreTrafficListener countStoreCalls(RegionLinks links, EventLoop trafficLoop) {
        StoreLink storeLink = links.storeLink();
        return new StoreTrafficListener() {
            @Override
            public void onConnected(double millis) {
                trafficLoop.execute(
                        () -> storeLink.recordRoundTrip(millis, TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
            }

            @Override
            public void onSent(long bytes) {
                storeLink.addSent(bytes);
            }

            @Override
            public void onReceived(long bytes) {
                storeLink.addReceived(bytes);
            }
        };
    }

    /** Publishes the bytes on the links in the metrics from time to time. */
    static void publishBytes(RegionLinks links, EventLoop trafficLoop, EntryMetrics metrics) {
        if (!links.isActive()) {
            return;
        }
        Map<Region, Map<LinkUse, Long>> published = new HashMap<>();
        Runnable publish = () -> links.regions().otherRegions().forEach(region -> {
            Map<LinkUse, Long> ofRegion = published.computeIfAbsent(region, _ -> new EnumMap<>(LinkUse.class));
            for (LinkUse use : LinkUse.values()) {
                long total = links.counters().total(region, use);
                long added = total - ofRegion.getOrDefault(use, 0L);
                if (added > 0) {
                    ofRegion.put(use, total);
                    metrics.recordRegionBytes(region.value(), use.label(), added);
                }
            }
        });
        trafficLoop.scheduleAtFixedRate(
                publish, PUBLISH_INTERVAL_MILLIS, PUBLISH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static LinkUse use(EntryPeerMessage message) {
        return switch (message) {
            case EntryPeerMessage.LoadReport _, EntryPeerMessage.ReportBundle _ -> LinkUse.LOAD_REPORTS;
            case EntryPeerMessage.RelayRequest _, EntryPeerMessage.RelayCancel _, EntryPeerMessage.RelayResponse _ ->
                LinkUse.RELAYS;
            default -> LinkUse.PEER_MESSAGES;
        };
    }
}
