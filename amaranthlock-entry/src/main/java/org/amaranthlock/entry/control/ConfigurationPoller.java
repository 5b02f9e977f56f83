package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.forwarding.EntryConfiguration;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.platform.ConfigurationDecoder;
import org.amaranthlock.platform.PlatformStore;
import org.amaranthlock.platform.StoreReply;
import org.amaranthlock.platform.StoredObject;

/**
 * Reads the configuration again and again, or asks a neighbour that does.
 *
 * <p>A neighbour's answer counts from when it was asked, less the age that it tells, so that neither its own suspension
 * nor a slow link can make a belief look newer than it is. A configuration that is not known yet is read in the store.
 *
 * <p>A read is as new as its call, so it also confirms that the known configuration is the newest; a watch that hears
 * nothing does not, because the store may have cut it off.
 */
public final class ConfigurationPoller {
    /** Time between two reads, milliseconds; with one lost answer the configuration is still in force in time. */
    private static final long INTERVAL_MILLIS = 900;

    private static final long RETRY_MILLIS = 200;
    private static final long TIMEOUT_MILLIS = 700;

    private final PlatformStore store;
    private final EventLoop loop;
    private final LongSupplier ageClockMillis;
    private final PeerStoreReader neighbour;
    private final PeerStoreServer relay;
    private final ConfigurationListener listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private long knownRevision = -1;
    private EntryConfiguration known;
    private boolean answering = true;

    /** Learns of configurations. */
    public interface ConfigurationListener {
        /** A call that was sent at {@code sentAtMillis} found this configuration to be the newest. */
        void onConfigurationConfirmed(EntryConfiguration configuration, long sentAtMillis);
    }

    /** Creates a follower whose calls run on {@code loop}. */
    public ConfigurationPoller(
            PlatformStore store,
            EventLoop loop,
            LongSupplier ageClockMillis,
            PeerStoreReader neighbour,
            PeerStoreServer relay,
            ConfigurationListener listener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.ageClockMillis = Objects.requireNonNull(ageClockMillis, "clock");
        this.neighbour = Objects.requireNonNull(neighbour, "neighbour");
        this.relay = Objects.requireNonNull(relay, "relay");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts to read. */
    public void start() {
        loop.execute(this::read);
    }

    private void askNeighbour() {
        long askedAt = ageClockMillis.getAsLong();
        boolean asked = neighbour.confirmConfiguration(knownRevision, age -> {
            if (age.isPresent()) {
                listener.onConfigurationConfirmed(known, askedAt - age.getAsLong());
                askNeighbour();
            } else {
                read();
            }
        });
        if (asked) {
            relay.onConfigurationUnavailable();
        } else {
            read();
        }
    }

    private void read() {
        long sentAt = ageClockMillis.getAsLong();
        store.read(ConfigurationDecoder.KIND, ConfigurationDecoder.NAME, TIMEOUT_MILLIS, reply -> take(reply, sentAt));
    }

    private void take(StoreReply reply, long sentAt) {
        metrics.recordStoreCall("configuration", reply.getClass().getSimpleName());
        boolean usable = reply instanceof StoreReply.Found found && confirm(found.object(), sentAt);
        if (usable != answering) {
            answering = usable;
            log.write(usable ? "configuration-regained" : "configuration-lost", "reply", brief(reply));
        }
        if (usable) {
            relay.onConfigurationRead(knownRevision, sentAt);
            loop.schedule(this::askNeighbour, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            relay.onConfigurationUnavailable();
            loop.schedule(this::read, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean confirm(StoredObject object, long sentAt) {
        if (known == null || object.revision() > knownRevision) {
            try {
                known = ConfigurationDecoder.decode(object);
                knownRevision = object.revision();
            } catch (IllegalArgumentException e) {
                log.write("configuration-unreadable", "revision", object.revision(), "cause", e.getMessage());
                return false;
            }
        }
        listener.onConfigurationConfirmed(known, sentAt);
        return true;
    }

    private static String brief(StoreReply reply) {
        return reply instanceof StoreReply.Found ? "found" : reply.toString();
    }
}
