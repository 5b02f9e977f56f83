package org.amaranthlock.router;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.NodeCore;
import org.amaranthlock.router.control.ControlQueue;
import org.amaranthlock.router.control.ControlTask;
import org.amaranthlock.router.control.RouterClock;
import org.amaranthlock.router.metrics.RouterMetrics;
import org.amaranthlock.transport.Service;
import org.jboss.logging.Logger;

/**
 * The control thread: owns the decision core, feeds it events and ticks, and passes its commands on.
 *
 * <p>A failure in the core or in the dispatch of a command leaves state that can't be trusted. The loop then stops and
 * reports the failure; it handles no further event.
 */
public final class ControlLoop implements Service {
    private static final Logger LOG = Logger.getLogger(ControlLoop.class);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(NodeCore.TICK_MILLIS);
    private static final long STOP_TIMEOUT_MILLIS = 5_000;
    // An arrival holds its prompt, which may be as long as a request body.
    private static final int MAX_LOGGED_CHARACTERS = 2_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final ControlQueue queue;
    private final NodeCore core;
    private final CommandDispatcher dispatcher;
    private final RouterClock clock;
    private final RouterMetrics metrics;
    private final Runnable afterTick;
    private final Runnable onFailure;
    private volatile boolean running;
    private Thread controlThread;

    /**
     * Creates a loop.
     *
     * @param queue source of events
     * @param core the decision core
     * @param dispatcher receiver of the commands
     * @param clock clock of the process
     * @param metrics metrics of the process
     * @param afterTick runs on the control thread after every tick, to publish what other threads may read
     * @param onFailure ends the process after an unexpected exception
     */
    public ControlLoop(
            ControlQueue queue,
            NodeCore core,
            CommandDispatcher dispatcher,
            RouterClock clock,
            RouterMetrics metrics,
            Runnable afterTick,
            Runnable onFailure) {
        this.queue = queue;
        this.core = core;
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.metrics = metrics;
        this.afterTick = afterTick;
        this.onFailure = onFailure;
    }

    @Override
    public synchronized void start() {
        running = true;
        controlThread =
                Thread.ofPlatform().name("amaranthlock-control").daemon(true).unstarted(this::run);
        controlThread.setUncaughtExceptionHandler((failed, error) -> {
            running = false;
            LOG.fatal("The control thread ended by an error; the process ends. Restart it.", error);
            onFailure.run();
        });
        controlThread.start();
    }

    @Override
    public synchronized void stop() {
        running = false;
        if (controlThread == null || controlThread == Thread.currentThread()) {
            return;
        }
        controlThread.interrupt();
        try {
            controlThread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        controlThread = null;
    }

    private void run() {
        long nextTick = System.nanoTime();
        while (running) {
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                process(new Event.Tick());
                afterTick.run();
                nextTick = Math.max(nextTick + TICK_NANOS, now);
                continue;
            }
            ControlTask task = poll(nextTick - now);
            if (task != null) {
                process(task);
            }
        }
    }

    private ControlTask poll(long timeoutNanos) {
        try {
            return queue.poll(timeoutNanos);
        } catch (InterruptedException e) {
            return null;
        }
    }

    private void process(ControlTask task) {
        Optional<Event> event;
        try {
            event = task.run(clock.millis());
        } catch (RuntimeException e) {
            fail("control task " + task, e);
            return;
        }
        event.ifPresent(this::process);
    }

    private void process(Event event) {
        long startNanos = System.nanoTime();
        try {
            List<Command> commands = core.handle(event, clock.millis());
            commands.forEach(dispatcher::dispatch);
        } catch (RuntimeException e) {
            fail("event " + event, e);
        } finally {
            metrics.addControlBusySeconds((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
        }
    }

    private void fail(String what, RuntimeException e) {
        running = false;
        String shown = what.length() > MAX_LOGGED_CHARACTERS ? what.substring(0, MAX_LOGGED_CHARACTERS) + "..." : what;
        LOG.fatalf(e, "Unexpected exception at %s; the process ends because its state can't be trusted.", shown);
        onFailure.run();
    }
}
