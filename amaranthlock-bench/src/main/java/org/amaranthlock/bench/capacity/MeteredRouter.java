package org.amaranthlock.bench.capacity;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.membership.RouterMember;
import org.amaranthlock.coordination.node.RouterCore;
import org.apache.commons.rng.simple.RandomSource;

/** Decision core of one router, with metrics of the work that it does. */
final class MeteredRouter {
    private final RouterMember member;
    private final RouterCostMetrics metrics = new RouterCostMetrics();
    private Optional<RouterCore> core;

    MeteredRouter(RouterMember member, List<String> seeds, long seed) {
        this.member = member;
        this.core = Optional.of(new RouterCore(member, seeds, RandomSource.XO_RO_SHI_RO_128_PP.create(seed)));
    }

    RouterMember member() {
        return member;
    }

    RouterCostMetrics metrics() {
        return metrics;
    }

    boolean running() {
        return core.isPresent();
    }

    /** Stops the router and releases its core, so that its memory can be reclaimed. */
    void stop() {
        core = Optional.empty();
    }

    Optional<RouterCore> core() {
        return core;
    }

    List<Command> handle(Event event, long nowMillis) {
        if (core.isEmpty()) {
            return List.of();
        }
        long start = System.nanoTime();
        List<Command> commands = core.get().handle(event, nowMillis);
        metrics.recordEvent(eventName(event), System.nanoTime() - start);
        return commands;
    }

    private static String eventName(Event event) {
        return event instanceof Event.PeerReceived received
                ? received.message().getClass().getSimpleName()
                : event.getClass().getSimpleName();
    }
}
