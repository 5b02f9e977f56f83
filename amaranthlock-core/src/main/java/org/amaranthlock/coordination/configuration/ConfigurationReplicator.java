package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RelaySelector;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.VersionedObject;
import org.amaranthlock.protocol.peer.PeerMessage.ConfigPull;
import org.amaranthlock.protocol.peer.PeerMessage.ConfigPush;
import org.amaranthlock.protocol.peer.PeerMessage.GossipPayload;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Replicates configuration entries to this router. It lists them at startup, watches the platform if this router is a
 * relay, receives pushes from its peers and pulls from them.
 *
 * <p>A push with revision 0 says nothing about completeness. The response to a pull carries the revision up to which it
 * is complete, and so do the results of lists and watches.
 */
final class ConfigurationReplicator {
    private static final String PREFIX = "config/";
    /** A list with this many objects may be truncated and is therefore not considered complete. */
    private static final int LIST_LIMIT = 100_000;

    private static final long INITIAL_LOAD_PERIOD_MILLIS = 1_000;
    private static final long LIST_TIMEOUT_MILLIS = 10_000;
    private static final long WATCH_DURATION_MILLIS = 30_000;
    /** Time after the end of a watch at which its response is considered lost. */
    private static final long WATCH_MARGIN_MILLIS = 10_000;

    private static final long WATCH_RETRY_MILLIS = 500;
    private static final long INITIAL_PULL_BACKOFF_MILLIS = 250;
    private static final long MAX_PULL_BACKOFF_MILLIS = 4_000;
    /** Staleness after which a router reads from the platform instead of waiting for its peers. */
    private static final long PLATFORM_READ_DELAY_MILLIS = 1_000;

    private static final long PLATFORM_READ_PERIOD_MILLIS = 5_000;
    /** Keeps a push well below the 1 MiB limit of a peer message. */
    private static final int MAX_PUSH_CHARACTERS = 200_000;

    private static final int ENTRY_OVERHEAD_CHARACTERS = 300;

    private final MembershipView membership;
    private final ConfigurationTable table;
    private final UniformRandomProvider random;
    private final OperationNumberGenerator operationNumbers;
    private Optional<HostId> aheadPeer = Optional.empty();
    private long advertisedRevision;
    private long staleSinceMillis = -1;
    private long pullBackoffMillis = INITIAL_PULL_BACKOFF_MILLIS;
    private long nextPullMillis;
    private long nextPlatformReadMillis;
    private long listOperation;
    private long listStartedMillis;
    private long nextInitialLoadMillis;
    private long watchOperation;
    private long watchEndMillis;
    private long nextWatchMillis;
    private long catchUpOperation;

    ConfigurationReplicator(
            MembershipView membership,
            ConfigurationTable table,
            UniformRandomProvider random,
            OperationNumberGenerator operationNumbers) {
        this.membership = membership;
        this.table = table;
        this.random = random;
        this.operationNumbers = operationNumbers;
    }

    /** Returns whether this router holds every entry up to the revision that its peers advertise. */
    boolean isCaughtUp() {
        return table.isComplete() && table.highestRevision() >= advertisedRevision;
    }

    /** Returns for how long this router has known that it lacks entries, in milliseconds; 0 if it lacks none. */
    long stalenessMillis(long nowMillis) {
        return staleSinceMillis < 0 ? 0 : nowMillis - staleSinceMillis;
    }

    void tick(long nowMillis, List<Command> commands) {
        updateStaleness(nowMillis);
        if (!table.isComplete()) {
            loadInitialEntries(nowMillis, commands);
            return;
        }
        watch(nowMillis, commands);
        if (staleSinceMillis >= 0) {
            catchUp(nowMillis, commands);
        }
    }

    void handleGossip(HostId from, GossipPayload gossip, long nowMillis, List<Command> commands) {
        if (gossip.configurationRevision() > table.completeUpTo()) {
            aheadPeer = Optional.of(from);
        }
        if (gossip.configurationRevision() > advertisedRevision) {
            advertisedRevision = gossip.configurationRevision();
            pullBackoffMillis = INITIAL_PULL_BACKOFF_MILLIS;
        }
        updateStaleness(nowMillis);
        if (staleSinceMillis >= 0) {
            pull(nowMillis, commands);
        }
    }

    void handlePull(HostId from, ConfigPull request, List<Command> commands) {
        Optional<RouterMember> peer = membership.member(from);
        if (!table.isComplete() || peer.isEmpty()) {
            return;
        }
        List<ConfigurationEntry> newer = table.entriesAfter(request.afterRevision());
        List<ConfigurationEntry> batch = new ArrayList<>();
        int characters = 0;
        for (ConfigurationEntry entry : newer) {
            characters += estimateSize(entry);
            if (!batch.isEmpty() && characters > MAX_PUSH_CHARACTERS) {
                break;
            }
            batch.add(entry);
        }
        long revision = table.completeUpTo();
        if (batch.size() < newer.size()) {
            revision = Math.min(revision, batch.getLast().revision());
        }
        commands.add(new Command.SendPeer(from, peer.get().address(), new ConfigPush(batch, revision)));
    }

    void handlePush(ConfigPush push, long nowMillis, List<Command> commands) {
        apply(push.entries(), commands);
        if (push.revision() > 0) {
            boolean advanced = push.revision() > table.completeUpTo();
            table.markCompleteUpTo(push.revision());
            updateStaleness(nowMillis);
            if (advanced && staleSinceMillis >= 0) {
                nextPullMillis = nowMillis;
                pull(nowMillis, commands);
            }
        }
    }

    /** Sends a newly written entry to all live routers, so that they get it even if the platform fails right away. */
    void broadcast(ConfigurationEntry entry, List<Command> commands) {
        for (RouterMember peer : membership.liveMembers()) {
            if (!peer.host().equals(membership.self().host())) {
                commands.add(new Command.SendPeer(peer.host(), peer.address(), new ConfigPush(List.of(entry), 0)));
            }
        }
    }

    void handle(ObjectApiEvent event, long nowMillis, List<Command> commands) {
        switch (event) {
            case ObjectApiEvent.ListDone done
            when done.operation() == listOperation -> {
                listOperation = 0;
                applyObjects(done.objects(), commands);
                if (done.objects().size() < LIST_LIMIT) {
                    table.markCompleteUpTo(done.revision());
                }
            }
            case ObjectApiEvent.WatchReturned returned
            when returned.operation() == watchOperation -> {
                watchOperation = 0;
                List<ConfigurationEntry> changed = applyObjects(returned.changed(), commands);
                table.markCompleteUpTo(returned.revision());
                pushToDomain(changed, commands);
                watch(nowMillis, commands);
            }
            case ObjectApiEvent.WatchReturned returned
            when returned.operation() == catchUpOperation -> {
                catchUpOperation = 0;
                applyObjects(returned.changed(), commands);
                table.markCompleteUpTo(returned.revision());
            }
            case ObjectApiEvent.OperationFailed failed -> handleFailure(failed.operation(), nowMillis);
            default -> {}
        }
    }

    private void handleFailure(long operation, long nowMillis) {
        if (operation == listOperation) {
            listOperation = 0;
        } else if (operation == catchUpOperation) {
            catchUpOperation = 0;
        } else if (operation == watchOperation) {
            watchOperation = 0;
            nextWatchMillis = nowMillis + WATCH_RETRY_MILLIS + random.nextLong(WATCH_RETRY_MILLIS);
        }
    }

    private void loadInitialEntries(long nowMillis, List<Command> commands) {
        if (listOperation != 0 && nowMillis - listStartedMillis >= LIST_TIMEOUT_MILLIS) {
            listOperation = 0;
        }
        if (nowMillis < nextInitialLoadMillis) {
            return;
        }
        nextInitialLoadMillis = nowMillis + INITIAL_LOAD_PERIOD_MILLIS;
        if (listOperation == 0) {
            listOperation = operationNumbers.next();
            listStartedMillis = nowMillis;
            commands.add(new ObjectApiCommand.ListObjects(listOperation, PREFIX, LIST_LIMIT));
        }
        randomPeer()
                .ifPresent(peer -> commands.add(new Command.SendPeer(peer.host(), peer.address(), new ConfigPull(0))));
    }

    private void watch(long nowMillis, List<Command> commands) {
        if (watchOperation != 0 && nowMillis >= watchEndMillis) {
            watchOperation = 0;
        }
        if (watchOperation != 0 || nowMillis < nextWatchMillis || !RelaySelector.isRelay(membership)) {
            return;
        }
        watchOperation = operationNumbers.next();
        watchEndMillis = nowMillis + WATCH_DURATION_MILLIS + WATCH_MARGIN_MILLIS;
        commands.add(new ObjectApiCommand.Watch(watchOperation, PREFIX, table.completeUpTo(), WATCH_DURATION_MILLIS));
    }

    private void catchUp(long nowMillis, List<Command> commands) {
        pull(nowMillis, commands);
        boolean due = stalenessMillis(nowMillis) >= PLATFORM_READ_DELAY_MILLIS && nowMillis >= nextPlatformReadMillis;
        if (due && watchOperation == 0) {
            nextPlatformReadMillis =
                    nowMillis + PLATFORM_READ_PERIOD_MILLIS + random.nextLong(PLATFORM_READ_PERIOD_MILLIS);
            catchUpOperation = operationNumbers.next();
            // The timeout of 1 ms makes the watch return past changes without waiting for new ones.
            commands.add(new ObjectApiCommand.Watch(catchUpOperation, PREFIX, table.completeUpTo(), 1));
        }
    }

    private void pull(long nowMillis, List<Command> commands) {
        Optional<RouterMember> peer = aheadPeer.flatMap(membership::member).or(this::randomPeer);
        if (nowMillis < nextPullMillis || peer.isEmpty()) {
            return;
        }
        nextPullMillis = nowMillis + pullBackoffMillis;
        // A router that holds the newest entry lacks only the confirmation of completeness, which an outage of the
        // platform may delay for a long time.
        if (table.highestRevision() >= advertisedRevision) {
            pullBackoffMillis = Math.min(MAX_PULL_BACKOFF_MILLIS, pullBackoffMillis * 2);
        }
        aheadPeer = Optional.empty();
        long after = table.isComplete() ? table.completeUpTo() : 0;
        commands.add(new Command.SendPeer(peer.get().host(), peer.get().address(), new ConfigPull(after)));
    }

    private Optional<RouterMember> randomPeer() {
        List<RouterMember> peers = new ArrayList<>(membership.liveMembers());
        peers.removeIf(peer -> peer.host().equals(membership.self().host()));
        return peers.isEmpty() ? Optional.empty() : Optional.of(peers.get(random.nextInt(peers.size())));
    }

    private void updateStaleness(long nowMillis) {
        if (advertisedRevision <= table.completeUpTo() && table.isComplete()) {
            staleSinceMillis = -1;
            pullBackoffMillis = INITIAL_PULL_BACKOFF_MILLIS;
        } else if (staleSinceMillis < 0) {
            staleSinceMillis = nowMillis;
        }
    }

    private void pushToDomain(List<ConfigurationEntry> entries, List<Command> commands) {
        if (entries.isEmpty()) {
            return;
        }
        for (RouterMember peer : RelaySelector.domainPeers(membership)) {
            for (List<ConfigurationEntry> push : splitIntoPushes(entries)) {
                commands.add(new Command.SendPeer(peer.host(), peer.address(), new ConfigPush(push, 0)));
            }
        }
    }

    private static List<List<ConfigurationEntry>> splitIntoPushes(List<ConfigurationEntry> entries) {
        List<List<ConfigurationEntry>> pushes = new ArrayList<>();
        int characters = MAX_PUSH_CHARACTERS;
        for (ConfigurationEntry entry : entries) {
            if (characters + estimateSize(entry) > MAX_PUSH_CHARACTERS) {
                pushes.add(new ArrayList<>());
                characters = 0;
            }
            characters += estimateSize(entry);
            pushes.getLast().add(entry);
        }
        return pushes;
    }

    private List<ConfigurationEntry> applyObjects(List<VersionedObject> objects, List<Command> commands) {
        List<ConfigurationEntry> entries = new ArrayList<>();
        objects.forEach(object -> ConfigurationWriter.toEntry(object).ifPresent(entries::add));
        apply(entries, commands);
        return entries;
    }

    /** Applies the entries that are newer than the stored ones. */
    void apply(List<ConfigurationEntry> entries, List<Command> commands) {
        for (ConfigurationEntry entry : entries) {
            table.apply(entry)
                    .ifPresent(error -> commands.add(
                            new Command.RecordTimelineEvent("configuration-invalid", entry.objectKey(), error)));
        }
    }

    private static int estimateSize(ConfigurationEntry entry) {
        int size = ENTRY_OVERHEAD_CHARACTERS
                + entry.version().text().map(String::length).orElse(0);
        for (var version : entry.history()) {
            size += ENTRY_OVERHEAD_CHARACTERS
                    + version.text().map(String::length).orElse(0);
        }
        return size;
    }
}
