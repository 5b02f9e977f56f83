package org.amaranthlock.coordination.engineorder;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.coordination.TargetCommand;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.membership.MembershipView;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.model.Capability;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;

/**
 * Orders engines to load the model and version that the configuration names, when these change.
 *
 * <p>All routers note the changes; the router that is first in rendezvous order of the group takes the group's lease
 * and gives the orders, one at a time.
 */
public final class EngineOrderController implements CoreComponent {
    /** Transport limit of an order; its effect is settled after this time. */
    private static final long ORDER_TIMEOUT_MILLIS = 2_000;

    private static final long RETRY_MILLIS = 5_000;
    /** A router that does not give the orders forgets them after this time, since the holder has given them. */
    private static final long RETENTION_MILLIS = 300_000;

    private final MembershipView membership;
    private final ConfigurationView configuration;
    private final double loadsPerSecond;
    private final OperationNumberGenerator numbers;
    private final Map<TargetId, Target> known = new TreeMap<>();
    private final Map<ServiceName, Group> groups = new TreeMap<>();
    private List<Target> compared = List.of();

    /**
     * Creates a controller.
     *
     * @param membership the routers, among which the holder of a lease is chosen
     * @param configuration source of the targets
     * @param loadsPerSecond weight loads per second that the weight store allows for one group
     * @param numbers source of operation and order numbers
     */
    public EngineOrderController(
            MembershipView membership,
            ConfigurationView configuration,
            double loadsPerSecond,
            OperationNumberGenerator numbers) {
        this.membership = Objects.requireNonNull(membership, "membership");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.loadsPerSecond = loadsPerSecond;
        this.numbers = Objects.requireNonNull(numbers, "numbers");
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        List<Command> commands = new ArrayList<>();
        switch (event) {
            case Event.Tick tick -> {
                compare(nowMillis);
                groups.forEach((service, group) -> advance(service, group, nowMillis, commands));
            }
            case ObjectApiEvent answer -> groups.values().forEach(group -> group.lease.handle(answer, nowMillis));
            case TargetEvent.OrderAnswered answer ->
                groups.values().forEach(group -> answered(group, answer, nowMillis));
            default -> {}
        }
        return commands;
    }

    /** Notes the targets whose model or version differs from the one that was configured before. */
    private void compare(long nowMillis) {
        List<Target> targets = configuration.targets();
        if (targets == compared) {
            return;
        }
        compared = targets;
        for (Target target : targets) {
            Target before = known.put(target.id(), target);
            boolean changed = before != null
                    && !target.model().isEmpty()
                    && !(before.model().equals(target.model())
                            && before.version().equals(target.version()));
            if (changed) {
                group(target.service()).wanted.put(target.id(), nowMillis);
            }
        }
    }

    private Group group(ServiceName service) {
        return groups.computeIfAbsent(
                service,
                key -> new Group(
                        new EngineLeaseManager(key.value(), membership.self().host(), loadsPerSecond, numbers)));
    }

    private void advance(ServiceName service, Group group, long nowMillis, List<Command> commands) {
        boolean first = first(service);
        if (!first) {
            group.wanted.values().removeIf(since -> nowMillis - since > RETENTION_MILLIS);
        }
        if (group.order != 0 && nowMillis - group.sentMillis >= ORDER_TIMEOUT_MILLIS) {
            group.order = 0;
            group.retryMillis = nowMillis + RETRY_MILLIS;
        }
        boolean needed = first && !group.wanted.isEmpty();
        group.lease.tick(needed, allFence(service), nowMillis, commands);
        if (needed && group.order == 0 && nowMillis >= group.retryMillis) {
            group.lease.acquireLoad(nowMillis).ifPresent(fence -> give(group, fence, nowMillis, commands));
        }
    }

    private void give(Group group, long fence, long nowMillis, List<Command> commands) {
        TargetId id = group.wanted.keySet().iterator().next();
        Target target = known.get(id);
        group.order = numbers.next();
        group.ordered = Optional.of(target);
        group.sentMillis = nowMillis;
        String argument = target.model() + "@" + target.version();
        commands.add(new TargetCommand.SendOrder(target, group.order, "load-model", argument, fence));
    }

    private void answered(Group group, TargetEvent.OrderAnswered answer, long nowMillis) {
        if (answer.order() != group.order) {
            return;
        }
        group.order = 0;
        if (!answer.accepted()) {
            group.lease.onFenced();
            group.retryMillis = nowMillis + RETRY_MILLIS;
        } else if (group.ordered.equals(Optional.ofNullable(known.get(answer.target())))) {
            group.wanted.remove(answer.target());
        }
    }

    private boolean first(ServiceName service) {
        List<RouterMember> order = membership.rendezvousOrder("engines/" + service);
        return !order.isEmpty()
                && order.getFirst().host().equals(membership.self().host());
    }

    private boolean allFence(ServiceName service) {
        return compared.stream()
                .filter(target -> target.service().equals(service))
                .allMatch(target -> target.supports(Capability.FENCING));
    }

    private static final class Group {
        private final EngineLeaseManager lease;
        private final Map<TargetId, Long> wanted = new LinkedHashMap<>();
        private Optional<Target> ordered = Optional.empty();
        private long order;
        private long sentMillis;
        private long retryMillis;

        private Group(EngineLeaseManager lease) {
            this.lease = lease;
        }
    }
}
