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
 * Polls the configuration from the store, or from a peer that polls the store.
 *
 * <p>The time of a confirmation by a peer is the time of the query minus the age that the peer reports, so that neither
 * a suspension of the peer nor a slow connection makes the cached configuration look newer than it is. A configuration
 * that this host does not know yet is read from the store.
 *
 * <p>A read is at least as recent as its call, so it also confirms that the known configuration is the newest. A watch
 * without events does not confirm this, because the store may have dropped the watch.
 */
public final class ConfigurationPoller {
    /** Interval between two reads; short enough that a change takes effect in time even if one response is lost. */
    private static final long READ_INTERVAL_MILLIS = 900;

    private static final long RETRY_DELAY_MILLIS = 200;
    private static final long CALL_TIMEOUT_MILLIS = 700;

    private final PlatformStore store;
    private final EventLoop loop;
    private final LongSupplier ageClockMillis;
    private final PeerStoreReader peerReader;
    private final PeerStoreServer peerStoreServer;
    private final ConfigurationListener listener;
    private final DecisionLog log;
    private final EntryMetrics metrics;
    private long knownRevision = -1;
    private EntryConfiguration knownConfiguration;
    private boolean lastReadUsable = true;

    /** Listener for confirmed configurations. */
    public interface ConfigurationListener {
        /** Called when a call sent at {@code sentAtMillis} has confirmed that this configuration is the newest. */
        void onConfigurationConfirmed(EntryConfiguration configuration, long sentAtMillis);
    }

    /** Creates a poller whose calls run on {@code loop}. */
    public ConfigurationPoller(
            PlatformStore store,
            EventLoop loop,
            LongSupplier ageClockMillis,
            PeerStoreReader peerReader,
            PeerStoreServer peerStoreServer,
            ConfigurationListener listener,
            DecisionLog log,
            EntryMetrics metrics) {
        this.store = Objects.requireNonNull(store, "store");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.ageClockMillis = Objects.requireNonNull(ageClockMillis, "age clock");
        this.peerReader = Objects.requireNonNull(peerReader, "peer reader");
        this.peerStoreServer = Objects.requireNonNull(peerStoreServer, "peer store server");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts polling. */
    public void start() {
        loop.execute(this::read);
    }

    private void poll() {
        long sentAt = ageClockMillis.getAsLong();
        boolean querySent = peerReader.confirmConfiguration(knownRevision, age -> {
            if (age.isPresent()) {
                listener.onConfigurationConfirmed(knownConfiguration, sentAt - age.getAsLong());
                poll();
            } else {
                read();
            }
        });
        if (querySent) {
            peerStoreServer.onConfigurationUnavailable();
        } else {
            read();
        }
    }

    private void read() {
        long sentAt = ageClockMillis.getAsLong();
        store.read(
                ConfigurationDecoder.KIND,
                ConfigurationDecoder.NAME,
                CALL_TIMEOUT_MILLIS,
                reply -> onReadReply(reply, sentAt));
    }

    private void onReadReply(StoreReply reply, long sentAt) {
        metrics.recordStoreCall("configuration", reply.getClass().getSimpleName());
        boolean usable = reply instanceof StoreReply.Found found && confirm(found.object(), sentAt);
        if (usable != lastReadUsable) {
            lastReadUsable = usable;
            log.write(usable ? "configuration-regained" : "configuration-lost", "reply", describe(reply));
        }
        if (usable) {
            peerStoreServer.onConfigurationRead(knownRevision, sentAt);
            loop.schedule(this::poll, READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            peerStoreServer.onConfigurationUnavailable();
            loop.schedule(this::read, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reports the configuration as confirmed; returns false if the object cannot be decoded. */
    private boolean confirm(StoredObject object, long sentAt) {
        if (knownConfiguration == null || object.revision() > knownRevision) {
            try {
                knownConfiguration = ConfigurationDecoder.decode(object);
                knownRevision = object.revision();
            } catch (IllegalArgumentException e) {
                log.write("configuration-unreadable", "revision", object.revision(), "cause", e.getMessage());
                return false;
            }
        }
        listener.onConfigurationConfirmed(knownConfiguration, sentAt);
        return true;
    }

    private static String describe(StoreReply reply) {
        return reply instanceof StoreReply.Found ? "found" : reply.toString();
    }
}
