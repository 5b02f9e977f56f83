package org.amaranthlock.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.OperatorCommand;
import org.amaranthlock.coordination.OperatorEvent;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.peer.PeerMessage;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Maintains the cached configuration of this router, which stays in force while the platform is down and never reverts
 * to an earlier revision.
 */
public final class DefaultConfiguration implements ConfigurationView, CoreComponent {
    private final ConfigurationTable table = new ConfigurationTable();
    private final ConfigurationReplicator replicator;
    private final ConfigurationWriter writer;
    private final List<ConfigurationEntry> acceptedEntries = new ArrayList<>();
    private boolean ready;

    /**
     * Creates an empty configuration.
     *
     * @param membership the routers; the relays among them watch the platform
     * @param random source of randomness
     * @param operationNumbers source of operation numbers
     */
    public DefaultConfiguration(
            MembershipView membership, UniformRandomProvider random, OperationNumberGenerator operationNumbers) {
        Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(operationNumbers, "numbers");
        this.replicator = new ConfigurationReplicator(membership, table, random, operationNumbers);
        this.writer = new ConfigurationWriter(table, operationNumbers, acceptedEntries::add);
    }

    @Override
    public Optional<ServiceSettings> service(ServiceName name) {
        return Optional.ofNullable(table.services().get(name));
    }

    @Override
    public List<ServiceSettings> services() {
        return List.copyOf(table.services().values());
    }

    @Override
    public Optional<AccountSettings> account(AccountId id) {
        return Optional.ofNullable(table.accounts().get(id));
    }

    @Override
    public Optional<AccountSettings> accountByKey(String keySha256) {
        return Optional.ofNullable(table.accountsByKey().get(keySha256));
    }

    /** {@inheritDoc} The list is the same object as long as no target changes. */
    @Override
    public List<Target> targets() {
        return table.targets();
    }

    @Override
    public long revision() {
        return table.highestCompleteRevision();
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    /** Returns the highest revision of an entry that this router holds, which it advertises in gossip. */
    public long highestRevision() {
        return table.highestRevision();
    }

    /** Returns for how long this router has known that it lacks entries, in milliseconds; 0 if it lacks none. */
    public long stalenessMillis(long nowMillis) {
        return replicator.stalenessMillis(nowMillis);
    }

    /** Returns an entry with its history, even if it is deleted. */
    public Optional<ConfigurationEntry> entry(String kind, String name) {
        return table.entry(kind, name);
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> {
                writer.tick(nowMillis, commands);
                replicator.tick(nowMillis, commands);
            }
            case Event.PeerReceived received -> receive(received.from(), received.message(), nowMillis, commands);
            case ObjectApiEvent response -> {
                replicator.handle(response, nowMillis, commands);
                writer.handle(response, nowMillis, commands);
                distributeAccepted(commands);
            }
            case OperatorEvent.PutConfiguration put -> writer.submit(put, nowMillis, commands);
            case OperatorEvent.GetConfiguration get -> commands.add(showEntries(get));
            default -> {}
        }
        ready = ready || replicator.isCaughtUp();
        return commands;
    }

    private void receive(HostId from, PeerMessage message, long nowMillis, List<Command> commands) {
        switch (message) {
            case PeerMessage.Ping ping -> replicator.handleGossip(from, ping.gossip(), nowMillis, commands);
            case PeerMessage.Ack ack -> replicator.handleGossip(from, ack.gossip(), nowMillis, commands);
            case PeerMessage.PingRequest request ->
                replicator.handleGossip(from, request.gossip(), nowMillis, commands);
            case PeerMessage.ConfigPull pull -> replicator.handlePull(from, pull, commands);
            case PeerMessage.ConfigPush push -> replicator.handlePush(push, nowMillis, commands);
            default -> {}
        }
    }

    /** Applies accepted changes locally and sends them to the other routers before the response to the operator. */
    private void distributeAccepted(List<Command> commands) {
        List<Command> distribution = new ArrayList<>();
        for (ConfigurationEntry entry : acceptedEntries) {
            replicator.apply(List.of(entry), distribution);
            replicator.broadcast(entry, distribution);
        }
        acceptedEntries.clear();
        commands.addAll(0, distribution);
    }

    private OperatorCommand showEntries(OperatorEvent.GetConfiguration get) {
        List<ConfigurationEntry> entries = new ArrayList<>();
        for (ConfigurationEntry entry : table.entries()) {
            boolean kindMatches = get.kind().isEmpty() || get.kind().equals(entry.kind());
            boolean nameMatches = get.name().isEmpty() || get.name().equals(entry.name());
            if (kindMatches && nameMatches && entry.version().text().isPresent()) {
                entries.add(entry);
            }
        }
        return new OperatorCommand.ConfigurationShown(get.call(), entries);
    }
}
