package org.amaranthlock.coordination.node;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.TargetEvent;
import org.amaranthlock.coordination.routing.TargetSelector;

/** Forwards target events, such as load reports and cache events, to the target selector. */
public final class TargetEventForwarder implements CoreComponent {
    private final TargetSelector selector;

    /** Creates a forwarder to {@code selector}. */
    public TargetEventForwarder(TargetSelector selector) {
        this.selector = Objects.requireNonNull(selector, "selector");
    }

    @Override
    public List<Command> handle(Event event, long nowMillis) {
        if (event instanceof TargetEvent observation) {
            selector.onTargetEvent(observation, nowMillis);
        }
        return List.of();
    }
}
