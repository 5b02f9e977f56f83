package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.amaranthlock.coordination.membership.RendezvousOrder;
import org.amaranthlock.coordination.streamversion.StreamKey;
import org.amaranthlock.coordination.streamversion.StreamVersions;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Shares among hosts which software version began an event stream, so that any host can resume it when others are killed.
 *
 * <p>An attempt that may bring the first event is announced when it is sent; the engine reads the prompt meanwhile. The
 * announcement goes to the first {@link #HOLDERS} hosts in the rendezvous order of the stream, which is every host of a
 * small fleet, and a host that does not know a stream asks the same ones. A host that has connected asks for what it was
 * not told before. The hosts of a new fleet connect to each other within {@link #FIRST_CONNECTIONS_MILLIS}. What a host
 * announces in that time it announces again to each host that connects, and a search waits for a first connection.
 *
 * <p>The versions are kept on the traffic loop; peer connections are used on the control loop.
 */
public final class StreamVersionExchange {
    /** Hosts that are told of a stream; several, because many hosts may be killed at the same moment. */
    private static final int HOLDERS = 8;

    /** Time within which announcements are combined into one message. */
    private static final long COALESCE_DELAY_MILLIS = 5;

    /** Time after which a search ends without an answer; a host that has just started may still be connecting. */
    private static final long SEARCH_TIMEOUT_MILLIS = 300;

    /**
     * Time for which a search goes on although no asked host knows the stream: a host that has just started takes it to
     * connect to the others.
     */
    private static final long MIN_SEARCH_MILLIS = 100;

    /** Interval at which hosts are asked that have been connected since a search began. */
    private static final long SEARCH_INTERVAL_MILLIS = 50;

    /** Time after the start within which the hosts of a fleet that starts for the first time connect to each other. */
    private static final long FIRST_CONNECTIONS_MILLIS = 3_000;

    /** Streams in one message. */
    private static final int MAX_STREAMS_PER_MESSAGE = 4_000;

    private final String hostName;
    private final StreamVersions versions;
    private final EventLoop trafficLoop;
    private final EventLoop controlLoop;
    private final Peers peers;
    private final LongSupplier clockMillis;
    private final DecisionLog log;

    /** Announcements that are not sent yet; used on the traffic loop. */
    private Map<StreamKey, SoftwareVersion> pending = new LinkedHashMap<>();

    /** Connected hosts that were asked for what they know; used on the control loop, like the fields below. */
    private final Set<String> asked = new HashSet<>();

    private final Map<Long, Search> searches = new HashMap<>();

    /** Announcements of this host in the time of the first connections, when other hosts may have missed them. */
    private final Map<StreamKey, SoftwareVersion> earlyAnnouncements = new LinkedHashMap<>();

    private final long createdAtMillis;
    private long lastQueryId;

    /** The other hosts. */
    public interface Peers extends PeerQueries {
        /** Returns the names of the connected hosts that keep the versions of event streams. */
        Set<String> peersThatKeepStreamVersions();
    }

    /** Search for the version of one stream. */
    private static final class Search {
        private final StreamKey stream;
        private final Consumer<Optional<SoftwareVersion>> result;
        private final long startedAtMillis;
        private final Set<String> asked = new HashSet<>();
        private int answers;

        private Search(StreamKey stream, Consumer<Optional<SoftwareVersion>> result, long startedAtMillis) {
            this.stream = stream;
            this.result = result;
            this.startedAtMillis = startedAtMillis;
        }

        /** Returns whether all hosts that can be asked have answered that they do not know the stream. */
        private boolean isExhausted(long nowMillis) {
            return nowMillis - startedAtMillis >= MIN_SEARCH_MILLIS && answers > 0 && answers == asked.size();
        }
    }

    /** Creates an exchange of the host with the given name, which keeps what it learns in {@code versions}. */
    public StreamVersionExchange(
            String hostName,
            StreamVersions versions,
            EventLoop trafficLoop,
            EventLoop controlLoop,
            Peers peers,
            LongSupplier clockMillis,
            DecisionLog log) {
        this.hostName = Objects.requireNonNull(hostName, "host name");
        this.versions = Objects.requireNonNull(versions, "versions");
        this.trafficLoop = Objects.requireNonNull(trafficLoop, "traffic loop");
        this.controlLoop = Objects.requireNonNull(controlLoop, "control loop");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.createdAtMillis = clockMillis.getAsLong();
    }

    /** Records and announces an attempt that is being sent; called on the traffic loop. */
    public void announce(StreamKey stream, SoftwareVersion version) {
        versions.record(stream, version, clockMillis.getAsLong());
        if (pending.isEmpty()) {
            trafficLoop.schedule(this::sendPending, COALESCE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        pending.put(stream, version);
    }

    /** Asks other hosts for the version of a stream; called on the traffic loop, which also gets the result. */
    public void ask(StreamKey stream, Consumer<Optional<SoftwareVersion>> result) {
        controlLoop.execute(() -> {
            long id = ++lastQueryId;
            searches.put(id, new Search(stream, result, clockMillis.getAsLong()));
            askConnected(id);
            controlLoop.schedule(() -> onTimeout(id), SEARCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Handles the announcement of another host; called on the control loop. */
    public void onAnnounced(EntryPeerMessage.StreamsBegun begun) {
        begun.streams().forEach(this::completeSearches);
        trafficLoop.execute(() -> {
            long nowMillis = clockMillis.getAsLong();
            begun.streams()
                    .forEach((version, streams) ->
                            streams.forEach(stream -> versions.record(stream, version, nowMillis)));
        });
    }

    /** Handles what another host repeats from its memory; called on the control loop. */
    public void onTold(EntryPeerMessage.StreamsTold told) {
        trafficLoop.execute(() -> {
            long nowMillis = clockMillis.getAsLong();
            told.streams()
                    .forEach((version, streams) ->
                            streams.forEach(stream -> versions.recordRepeated(stream, version, nowMillis)));
        });
    }

    /** Answers which streams another host should know; called on the control loop. */
    public void onQuery(EntryPeerMessage.StreamsQuery query, Consumer<EntryPeerMessage> reply) {
        trafficLoop.execute(() -> {
            Map<SoftwareVersion, List<StreamKey>> known = versions.streamsByVersion(clockMillis.getAsLong());
            controlLoop.execute(() -> repeat(query, known, reply));
        });
    }

    /** Answers the query of another host; called on the control loop. */
    public void onQuery(EntryPeerMessage.StreamVersionQuery query, Consumer<EntryPeerMessage> reply) {
        trafficLoop.execute(() ->
                reply.accept(new EntryPeerMessage.StreamVersionAnswered(query.id(), versions.version(query.stream()))));
    }

    /** Handles the answer of another host; called on the control loop. */
    public void onAnswered(EntryPeerMessage.StreamVersionAnswered answered) {
        Search search = searches.get(answered.id());
        if (search == null) {
            return; // another host has answered before
        }
        search.answers++;
        if (answered.version().isPresent() || search.isExhausted(clockMillis.getAsLong())) {
            complete(answered.id(), answered.version());
        }
    }

    /** Asks a host what it knows, once it is connected and reads the query; called on the control loop. */
    public void onConnectionChanged(String peer) {
        if (!peers.peersThatKeepStreamVersions().contains(peer)) {
            asked.remove(peer);
        } else if (asked.add(peer)) {
            peers.sendQuery(peer, new EntryPeerMessage.StreamsQuery(++lastQueryId, hostName));
            repeatEarlyAnnouncements(peer);
        }
    }

    /** A host that is connected again later has heard of them, and may know a newer version of a stream since. */
    private void repeatEarlyAnnouncements(String peer) {
        if (!isConnectingFirst()) {
            earlyAnnouncements.clear();
        }
        sendAnnouncements(earlyAnnouncements, Set.of(peer));
    }

    private boolean isConnectingFirst() {
        return clockMillis.getAsLong() - createdAtMillis < FIRST_CONNECTIONS_MILLIS;
    }

    private void sendPending() {
        Map<StreamKey, SoftwareVersion> announced = pending;
        pending = new LinkedHashMap<>();
        controlLoop.execute(() -> {
            if (isConnectingFirst()) {
                earlyAnnouncements.putAll(announced);
            }
            sendAnnouncements(announced, peers.peersThatKeepStreamVersions());
        });
    }

    /** Sends announcements to those of the given hosts that keep them. */
    private void sendAnnouncements(Map<StreamKey, SoftwareVersion> announced, Set<String> receivers) {
        Set<String> hosts = peers.peersThatKeepStreamVersions();
        Map<String, Map<SoftwareVersion, List<StreamKey>>> byHost = new HashMap<>();
        announced.forEach((stream, version) -> holders(stream, hosts).stream()
                .filter(receivers::contains)
                .forEach(host -> byHost.computeIfAbsent(host, _ -> new HashMap<>())
                        .computeIfAbsent(version, _ -> new ArrayList<>())
                        .add(stream)));
        byHost.forEach((host, streams) -> peers.sendQuery(host, new EntryPeerMessage.StreamsBegun(streams)));
    }

    /** Ends a search that takes too long; without any connection it goes on for as long as the first ones take. */
    private void onTimeout(long id) {
        Search search = searches.get(id);
        if (search != null && search.asked.isEmpty() && isConnectingFirst()) {
            controlLoop.schedule(() -> onTimeout(id), SEARCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            complete(id, Optional.empty());
        }
    }

    private void repeat(
            EntryPeerMessage.StreamsQuery query,
            Map<SoftwareVersion, List<StreamKey>> known,
            Consumer<EntryPeerMessage> reply) {
        Set<String> hosts = new HashSet<>(peers.peersThatKeepStreamVersions());
        hosts.add(query.host());
        known.forEach((version, streams) -> {
            List<StreamKey> held = streams.stream()
                    .filter(stream -> holders(stream, hosts).contains(query.host()))
                    .toList();
            for (int from = 0; from < held.size(); from += MAX_STREAMS_PER_MESSAGE) {
                List<StreamKey> part = held.subList(from, Math.min(held.size(), from + MAX_STREAMS_PER_MESSAGE));
                reply.accept(new EntryPeerMessage.StreamsTold(query.id(), Map.of(version, part)));
            }
        });
    }

    private void askConnected(long id) {
        Search search = searches.get(id);
        if (search == null) {
            return; // answered
        }
        for (String host : holders(search.stream, peers.peersThatKeepStreamVersions())) {
            if (search.asked.add(host)) {
                peers.sendQuery(host, new EntryPeerMessage.StreamVersionQuery(id, search.stream));
            }
        }
        if (search.isExhausted(clockMillis.getAsLong())) {
            complete(id, Optional.empty());
        } else {
            controlLoop.schedule(() -> askConnected(id), SEARCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void completeSearches(SoftwareVersion version, List<StreamKey> streams) {
        List<Long> found = searches.entrySet().stream()
                .filter(search -> streams.contains(search.getValue().stream))
                .map(Map.Entry::getKey)
                .toList();
        found.forEach(id -> complete(id, Optional.of(version)));
    }

    private void complete(long id, Optional<SoftwareVersion> version) {
        Search search = searches.remove(id);
        if (search == null) {
            return; // another host has answered before
        }
        log.write(
                "stream-version-asked",
                "stream",
                search.stream,
                "asked",
                search.asked.size(),
                "software",
                version.map(SoftwareVersion::toString).orElse("-"));
        trafficLoop.execute(() -> {
            version.ifPresent(told -> versions.recordRepeated(search.stream, told, clockMillis.getAsLong()));
            search.result.accept(version);
        });
    }

    private static List<String> holders(StreamKey stream, Set<String> hosts) {
        if (hosts.size() <= HOLDERS) {
            return List.copyOf(hosts);
        }
        return RendezvousOrder.order(stream.toString(), List.copyOf(hosts), Function.identity())
                .subList(0, HOLDERS);
    }
}
