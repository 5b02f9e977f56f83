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
 * Orders engines to load the configured model and version when these change.
 *
 * <p>The engines of one service form an engine group. All routers track the changes; the router that is first in the
 * rendezvous order of the group acquires the group's lease and sends the orders, one at a time.
 */
public final class EngineOrderController implements CoreComponent {
    /** Transport timeout of an order, after which the order can no longer take effect. */
    private static final long ORDER_TIMEOUT_MILLIS = 2_000;

    private static final long RETRY_DELAY_MILLIS = 5_000;
    /**
     * Time after which a router that is not the preferred holder drops an order, since the holder has sent it by then.
     */
    private static final long PENDING_TARGET_RETENTION_MILLIS = 300_000;

    private final MembershipView membership;
    private final ConfigurationView configuration;
    private final double loadsPerSecond;
    private final OperationNumberGenerator numbers;
    private final Map<TargetId, Target> knownTargets = new TreeMap<>();
    private final Map<ServiceName, EngineGroup> groups = new TreeMap<>();
    private List<Target> lastTargets = List.of();

    /**
     * Creates a controller.
     *
     * @param membership the routers, from which the preferred holder of a lease is selected
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
                detectChanges(nowMillis);
                groups.forEach((service, group) -> advance(service, group, nowMillis, commands));
            }
            case ObjectApiEvent objectApiEvent ->
                groups.values().forEach(group -> group.lease.handle(objectApiEvent, nowMillis));
            case TargetEvent.OrderResponseReceived response ->
                groups.values().forEach(group -> onOrderResponse(group, response, nowMillis));
            default -> {}
        }
        return commands;
    }

    /** Records the known targets whose configured model or version has changed; a new target is not a change. */
    private void detectChanges(long nowMillis) {
        List<Target> targets = configuration.targets();
        if (targets == lastTargets) {
            return;
        }
        lastTargets = targets;
        for (Target target : targets) {
            Target previous = knownTargets.put(target.id(), target);
            boolean changed = previous != null
                    && !target.model().isEmpty()
                    && !(previous.model().equals(target.model())
                            && previous.version().equals(target.version()));
            if (changed) {
                group(target.service()).pendingTargets.put(target.id(), nowMillis);
            }
        }
    }

    private EngineGroup group(ServiceName service) {
        return groups.computeIfAbsent(
                service,
                key -> new EngineGroup(
                        new EngineLeaseManager(key.value(), membership.self().host(), loadsPerSecond, numbers)));
    }

    private void advance(ServiceName service, EngineGroup group, long nowMillis, List<Command> commands) {
        boolean preferredHolder = isPreferredHolder(service);
        if (!preferredHolder) {
            group.pendingTargets.values().removeIf(since -> nowMillis - since > PENDING_TARGET_RETENTION_MILLIS);
        }
        if (group.pendingOrder != 0 && nowMillis - group.orderSentMillis >= ORDER_TIMEOUT_MILLIS) {
            group.pendingOrder = 0;
            group.nextOrderMillis = nowMillis + RETRY_DELAY_MILLIS;
        }
        boolean needed = preferredHolder && !group.pendingTargets.isEmpty();
        group.lease.tick(needed, allSupportFencing(service), nowMillis, commands);
        if (needed && group.pendingOrder == 0 && nowMillis >= group.nextOrderMillis) {
            group.lease.tryAcquireLoad(nowMillis).ifPresent(fence -> sendOrder(group, fence, nowMillis, commands));
        }
    }

    private void sendOrder(EngineGroup group, long fence, long nowMillis, List<Command> commands) {
        TargetId id = group.pendingTargets.keySet().iterator().next();
        Target target = knownTargets.get(id);
        group.pendingOrder = numbers.next();
        group.orderedTarget = Optional.of(target);
        group.orderSentMillis = nowMillis;
        String argument = target.model() + "@" + target.version();
        commands.add(new TargetCommand.SendOrder(target, group.pendingOrder, "load-model", argument, fence));
    }

    private void onOrderResponse(EngineGroup group, TargetEvent.OrderResponseReceived response, long nowMillis) {
        if (response.order() != group.pendingOrder) {
            return;
        }
        group.pendingOrder = 0;
        if (!response.accepted()) {
            group.lease.onFenced();
            group.nextOrderMillis = nowMillis + RETRY_DELAY_MILLIS;
            // A target that has changed again since the order was sent stays pending.
        } else if (group.orderedTarget.equals(Optional.ofNullable(knownTargets.get(response.target())))) {
            group.pendingTargets.remove(response.target());
        }
    }

    private boolean isPreferredHolder(ServiceName service) {
        List<RouterMember> order = membership.rendezvousOrder("engines/" + service);
        return !order.isEmpty()
                && order.getFirst().host().equals(membership.self().host());
    }

    private boolean allSupportFencing(ServiceName service) {
        return lastTargets.stream()
                .filter(target -> target.service().equals(service))
                .allMatch(target -> target.supports(Capability.FENCING));
    }

    private static final class EngineGroup {
        private final EngineLeaseManager lease;
        private final Map<TargetId, Long> pendingTargets = new LinkedHashMap<>();
        private Optional<Target> orderedTarget = Optional.empty();
        private long pendingOrder;
        private long orderSentMillis;
        private long nextOrderMillis;

        private EngineGroup(EngineLeaseManager lease) {
            this.lease = lease;
        }
    }
}
