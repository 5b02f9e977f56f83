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
import org.amaranthlock.transport.Lifecycle;
import org.jboss.logging.Logger;

/**
 * Event loop of the control thread, which owns the decision core: feeds the core with events and ticks and dispatches
 * the commands that it returns.
 *
 * <p>An exception in the core or in the dispatch of a command may leave inconsistent state. The loop then stops,
 * logs the exception, terminates the process by its failure callback and processes no further event.
 */
public final class ControlLoop implements Lifecycle {
    private static final Logger LOG = Logger.getLogger(ControlLoop.class);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(NodeCore.TICK_MILLIS);
    private static final long STOP_TIMEOUT_MILLIS = 5_000;
    // The text of an arrival event contains the prompt, which may be as long as a request body.
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
     * @param queue queue of the tasks to run
     * @param core the decision core
     * @param dispatcher executes the core's commands
     * @param clock clock of the process
     * @param metrics metrics of the process
     * @param afterTick runs on the control thread after every tick, to publish state that other threads may read
     * @param onFailure terminates the process after an unexpected exception
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
        controlThread.setUncaughtExceptionHandler((thread, error) -> {
            running = false;
            LOG.fatal("Uncaught error in the control thread; the process terminates. Restart it.", error);
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
        long nextTickNanos = System.nanoTime();
        while (running) {
            long nowNanos = System.nanoTime();
            if (nowNanos - nextTickNanos >= 0) {
                process(new Event.Tick());
                afterTick.run();
                // Overdue ticks are skipped, so that the loop does not run a burst of ticks after a long event.
                nextTickNanos = Math.max(nextTickNanos + TICK_NANOS, nowNanos);
                continue;
            }
            ControlTask task = poll(nextTickNanos - nowNanos);
            if (task != null) {
                process(task);
            }
        }
    }

    private ControlTask poll(long timeoutNanos) {
        try {
            return queue.poll(timeoutNanos);
        } catch (InterruptedException e) {
            // stop() interrupts the wait; the loop ends because it is no longer running.
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

    private void fail(String description, RuntimeException e) {
        running = false;
        String loggedDescription = description.length() > MAX_LOGGED_CHARACTERS
                ? description.substring(0, MAX_LOGGED_CHARACTERS) + "..."
                : description;
        LOG.fatalf(
                e,
                "Unexpected exception while processing %s; the process terminates, as its state may be inconsistent. "
                        + "Restart it and report this as a bug.",
                loggedDescription);
        onFailure.run();
    }
}
