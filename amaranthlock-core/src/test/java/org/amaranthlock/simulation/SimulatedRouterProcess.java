package org.amaranthlock.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.CoreComponent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.membership.RouterMember;

/** Simulated router process that passes every event to all its components, as a real one does. */
public final class SimulatedRouterProcess {
    private final ClusterSimulation simulation;
    private final RouterMember member;
    private final List<CoreComponent> components = new ArrayList<>();
    private final List<Command> recordedCommands = new ArrayList<>();
    private final List<Event> raisedEvents = new ArrayList<>();
    private final Deque<Event> pendingEvents = new ArrayDeque<>();
    private boolean running = true;
    private boolean paused;
    private long clockOffsetMillis;
    private long messagesSent;

    public SimulatedRouterProcess(ClusterSimulation simulation, RouterMember member) {
        this.simulation = simulation;
        this.member = member;
    }

    public <C extends CoreComponent> C addComponent(C component) {
        components.add(component);
        return component;
    }

    public RouterMember member() {
        return member;
    }

    public boolean running() {
        return running;
    }

    public boolean paused() {
        return paused;
    }

    /** Sets the offset of this router's clock from the simulation time; the clock must never go back. */
    public void setClockOffsetMillis(long offsetMillis) {
        clockOffsetMillis = offsetMillis;
    }

    /** Returns the time of this router's clock. */
    public long clockMillis() {
        return simulation.now() + clockOffsetMillis;
    }

    public void kill() {
        running = false;
    }

    /** Pauses the process; events queue up, and the first event after the pause is a tick. */
    public void pause(long millis) {
        paused = true;
        simulation.schedule(millis, () -> {
            paused = false;
            process(new Event.Tick());
            while (!pendingEvents.isEmpty()) {
                process(pendingEvents.poll());
            }
        });
    }

    public void offer(Event event) {
        if (paused) {
            if (!(event instanceof Event.Tick)) {
                pendingEvents.add(event);
            }
        } else {
            process(event);
        }
    }

    private void process(Event first) {
        Deque<Event> events = new ArrayDeque<>(List.of(first));
        while (running && !events.isEmpty()) {
            Event event = events.poll();
            for (CoreComponent component : components) {
                for (Command command : component.handle(event, clockMillis())) {
                    if (command instanceof Command.Raise raise) {
                        events.add(raise.event());
                        raisedEvents.add(raise.event());
                    } else {
                        simulation.execute(this, command);
                    }
                }
            }
        }
    }

    /** Executes commands that a component returned outside of event processing. */
    public void execute(List<Command> commands) {
        for (Command command : commands) {
            if (command instanceof Command.Raise raise) {
                raisedEvents.add(raise.event());
                simulation.schedule(0, () -> offer(raise.event()));
            } else {
                simulation.execute(this, command);
            }
        }
    }

    void recordSentMessage() {
        messagesSent++;
    }

    void recordCommand(Command command) {
        recordedCommands.add(command);
    }

    /** Returns the number of messages sent so far. */
    public long messagesSent() {
        return messagesSent;
    }

    /** Returns the recorded commands of a type; commands to the network and the platform are not recorded. */
    public <C extends Command> List<C> commands(Class<C> type) {
        return recordedCommands.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    public <E extends Event> List<E> raisedEvents(Class<E> type) {
        return raisedEvents.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
