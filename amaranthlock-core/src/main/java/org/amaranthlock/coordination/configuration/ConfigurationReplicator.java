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
import org.amaranthlock.protocol.peer.PeerMessage.News;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Brings entries to this router: a list at the start, watches of the relays, pushes, and pulls from peers.
 *
 * <p>A push with revision 0 says nothing about completeness. An answer to a pull carries the revision up to which it
 * is complete, and so do lists and watches.
 */
final class ConfigurationReplicator {
    private static final String PREFIX = "config/";
    private static final int LIST_LIMIT = 100_000;
    private static final long START_PERIOD_MILLIS = 1_000;
    private static final long LIST_TIMEOUT_MILLIS = 10_000;
    private static final long WATCH_MILLIS = 30_000;
    private static final long WATCH_MARGIN_MILLIS = 10_000;
    private static final long WATCH_RETRY_MILLIS = 500;
    private static final long FIRST_PULL_BACKOFF_MILLIS = 250;
    private static final long LAST_PULL_BACKOFF_MILLIS = 4_000;
    /** A router that is behind for longer asks the platform. */
    private static final long PLATFORM_AFTER_MILLIS = 1_000;

    private static final long PLATFORM_PERIOD_MILLIS = 5_000;
    /** Keeps an answer to a pull well below the 1 MiB of a peer message. */
    private static final int PUSH_CHARACTERS = 200_000;

    private static final int ENTRY_OVERHEAD_CHARACTERS = 300;

    private final MembershipView membership;
    private final ConfigurationTable table;
    private final UniformRandomProvider random;
    private final OperationNumberGenerator numbers;
    private Optional<HostId> aheadPeer = Optional.empty();
    private long advertised;
    private long behindSinceMillis = -1;
    private long pullBackoffMillis = FIRST_PULL_BACKOFF_MILLIS;
    private long nextPullMillis;
    private long nextPlatformReadMillis;
    private long listOperation;
    private long listStartedMillis;
    private long nextStartMillis;
    private long watchOperation;
    private long watchEndMillis;
    private long nextWatchMillis;
    private long catchUpOperation;

    ConfigurationReplicator(
            MembershipView membership,
            ConfigurationTable table,
            UniformRandomProvider random,
            OperationNumberGenerator numbers) {
        this.membership = membership;
        this.table = table;
        this.random = random;
        this.numbers = numbers;
    }

    /** Tells whether this router holds all that its peers advertise. */
    boolean isCaughtUp() {
        return table.isComplete() && table.highestRevision() >= advertised;
    }

    /** Returns for how long this router has known that it lacks entries, in milliseconds. */
    long stalenessMillis(long nowMillis) {
        return behindSinceMillis < 0 ? 0 : nowMillis - behindSinceMillis;
    }

    void onTick(long nowMillis, List<Command> commands) {
        updateBehind(nowMillis);
        if (!table.isComplete()) {
            start(nowMillis, commands);
            return;
        }
        watch(nowMillis, commands);
        if (behindSinceMillis >= 0) {
            catchUp(nowMillis, commands);
        }
    }

    void onGossip(HostId from, News news, long nowMillis, List<Command> commands) {
        if (news.configurationRevision() > table.completeUpTo()) {
            aheadPeer = Optional.of(from);
        }
        if (news.configurationRevision() > advertised) {
            advertised = news.configurationRevision();
            pullBackoffMillis = FIRST_PULL_BACKOFF_MILLIS;
        }
        updateBehind(nowMillis);
        if (behindSinceMillis >= 0) {
            pull(nowMillis, commands);
        }
    }

    void handlePull(HostId from, ConfigPull request, List<Command> commands) {
        Optional<RouterMember> peer = membership.member(from);
        if (!table.isComplete() || peer.isEmpty()) {
            return;
        }
        List<ConfigurationEntry> newer = table.entriesAfter(request.afterRevision());
        List<ConfigurationEntry> part = new ArrayList<>();
        int characters = 0;
        for (ConfigurationEntry entry : newer) {
            characters += size(entry);
            if (!part.isEmpty() && characters > PUSH_CHARACTERS) {
                break;
            }
            part.add(entry);
        }
        long revision = table.completeUpTo();
        if (part.size() < newer.size()) {
            revision = Math.min(revision, part.getLast().revision());
        }
        commands.add(new Command.SendPeer(from, peer.get().address(), new ConfigPush(part, revision)));
    }

    void handlePush(ConfigPush push, long nowMillis, List<Command> commands) {
        apply(push.entries(), commands);
        if (push.revision() > 0) {
            boolean progress = push.revision() > table.completeUpTo();
            table.completeUpTo(push.revision());
            updateBehind(nowMillis);
            if (progress && behindSinceMillis >= 0) {
                nextPullMillis = nowMillis;
                pull(nowMillis, commands);
            }
        }
    }

    /** Sends an entry that this router wrote to all routers, so that it spreads even if the platform fails now. */
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
                adoptObjects(done.objects(), commands);
                if (done.objects().size() < LIST_LIMIT) {
                    table.completeUpTo(done.revision());
                }
            }
            case ObjectApiEvent.WatchReturned returned
            when returned.operation() == watchOperation -> {
                watchOperation = 0;
                List<ConfigurationEntry> changed = adoptObjects(returned.changed(), commands);
                table.completeUpTo(returned.revision());
                pushToDomain(changed, commands);
                watch(nowMillis, commands);
            }
            case ObjectApiEvent.WatchReturned returned
            when returned.operation() == catchUpOperation -> {
                catchUpOperation = 0;
                adoptObjects(returned.changed(), commands);
                table.completeUpTo(returned.revision());
            }
            case ObjectApiEvent.OperationFailed failed -> operationFailed(failed.operation(), nowMillis);
            default -> {}
        }
    }

    private void operationFailed(long operation, long nowMillis) {
        if (operation == listOperation) {
            listOperation = 0;
        } else if (operation == catchUpOperation) {
            catchUpOperation = 0;
        } else if (operation == watchOperation) {
            watchOperation = 0;
            nextWatchMillis = nowMillis + WATCH_RETRY_MILLIS + random.nextLong(WATCH_RETRY_MILLIS);
        }
    }

    private void start(long nowMillis, List<Command> commands) {
        if (listOperation != 0 && nowMillis - listStartedMillis >= LIST_TIMEOUT_MILLIS) {
            listOperation = 0;
        }
        if (nowMillis < nextStartMillis) {
            return;
        }
        nextStartMillis = nowMillis + START_PERIOD_MILLIS;
        if (listOperation == 0) {
            listOperation = numbers.next();
            listStartedMillis = nowMillis;
            commands.add(new ObjectApiCommand.ListObjects(listOperation, PREFIX, LIST_LIMIT));
        }
        peer().ifPresent(peer -> commands.add(new Command.SendPeer(peer.host(), peer.address(), new ConfigPull(0))));
    }

    private void watch(long nowMillis, List<Command> commands) {
        if (watchOperation != 0 && nowMillis >= watchEndMillis) {
            watchOperation = 0;
        }
        if (watchOperation != 0 || nowMillis < nextWatchMillis || !RelaySelector.isRelay(membership)) {
            return;
        }
        watchOperation = numbers.next();
        watchEndMillis = nowMillis + WATCH_MILLIS + WATCH_MARGIN_MILLIS;
        commands.add(new ObjectApiCommand.Watch(watchOperation, PREFIX, table.completeUpTo(), WATCH_MILLIS));
    }

    private void catchUp(long nowMillis, List<Command> commands) {
        pull(nowMillis, commands);
        boolean due = stalenessMillis(nowMillis) >= PLATFORM_AFTER_MILLIS && nowMillis >= nextPlatformReadMillis;
        if (due && watchOperation == 0) {
            nextPlatformReadMillis = nowMillis + PLATFORM_PERIOD_MILLIS + random.nextLong(PLATFORM_PERIOD_MILLIS);
            catchUpOperation = numbers.next();
            commands.add(new ObjectApiCommand.Watch(catchUpOperation, PREFIX, table.completeUpTo(), 1));
        }
    }

    private void pull(long nowMillis, List<Command> commands) {
        Optional<RouterMember> peer = aheadPeer.flatMap(membership::member).or(this::peer);
        if (nowMillis < nextPullMillis || peer.isEmpty()) {
            return;
        }
        nextPullMillis = nowMillis + pullBackoffMillis;
        // A router that holds the newest entry only lacks the proof of completeness, which an outage may delay for
        // long.
        if (table.highestRevision() >= advertised) {
            pullBackoffMillis = Math.min(LAST_PULL_BACKOFF_MILLIS, pullBackoffMillis * 2);
        }
        aheadPeer = Optional.empty();
        long after = table.isComplete() ? table.completeUpTo() : 0;
        commands.add(new Command.SendPeer(peer.get().host(), peer.get().address(), new ConfigPull(after)));
    }

    private Optional<RouterMember> peer() {
        List<RouterMember> peers = new ArrayList<>(membership.liveMembers());
        peers.removeIf(peer -> peer.host().equals(membership.self().host()));
        return peers.isEmpty() ? Optional.empty() : Optional.of(peers.get(random.nextInt(peers.size())));
    }

    private void updateBehind(long nowMillis) {
        if (advertised <= table.completeUpTo() && table.isComplete()) {
            behindSinceMillis = -1;
            pullBackoffMillis = FIRST_PULL_BACKOFF_MILLIS;
        } else if (behindSinceMillis < 0) {
            behindSinceMillis = nowMillis;
        }
    }

    private void pushToDomain(List<ConfigurationEntry> entries, List<Command> commands) {
        if (entries.isEmpty()) {
            return;
        }
        for (RouterMember peer : RelaySelector.domainPeers(membership)) {
            for (List<ConfigurationEntry> part : parts(entries)) {
                commands.add(new Command.SendPeer(peer.host(), peer.address(), new ConfigPush(part, 0)));
            }
        }
    }

    private static List<List<ConfigurationEntry>> parts(List<ConfigurationEntry> entries) {
        List<List<ConfigurationEntry>> parts = new ArrayList<>();
        int characters = PUSH_CHARACTERS;
        for (ConfigurationEntry entry : entries) {
            if (characters + size(entry) > PUSH_CHARACTERS) {
                parts.add(new ArrayList<>());
                characters = 0;
            }
            characters += size(entry);
            parts.getLast().add(entry);
        }
        return parts;
    }

    private List<ConfigurationEntry> adoptObjects(List<VersionedObject> objects, List<Command> commands) {
        List<ConfigurationEntry> entries = new ArrayList<>();
        objects.forEach(object -> ConfigurationWriter.entry(object).ifPresent(entries::add));
        apply(entries, commands);
        return entries;
    }

    /** Adopts the entries that are newer than the held ones. */
    void apply(List<ConfigurationEntry> entries, List<Command> commands) {
        for (ConfigurationEntry entry : entries) {
            table.apply(entry)
                    .ifPresent(problem -> commands.add(
                            new Command.RecordTimelineEvent("configuration-invalid", entry.objectKey(), problem)));
        }
    }

    private static int size(ConfigurationEntry entry) {
        int size = ENTRY_OVERHEAD_CHARACTERS
                + entry.version().text().map(String::length).orElse(0);
        for (var version : entry.history()) {
            size += ENTRY_OVERHEAD_CHARACTERS
                    + version.text().map(String::length).orElse(0);
        }
        return size;
    }
}
