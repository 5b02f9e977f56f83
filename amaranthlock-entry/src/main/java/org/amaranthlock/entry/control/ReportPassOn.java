package org.amaranthlock.entry.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthlock.coordination.loadreport.ObservedReport;
import org.amaranthlock.coordination.loadreport.ReportOutbox;
import org.amaranthlock.coordination.loadreport.ReportTraffic;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;

/**
 * Passes load reports on to a set of hosts, the newest ones of several hosts together.
 *
 * <p>While the link does not take them as fast as they come, the next ones wait and replace each other. All calls are on
 * one event loop.
 */
final class ReportPassOn {
    /**
     * Time that the reports of one pass may take of the link; others wait, so that a host that has suddenly much to pass
     * on is not busy with old reports while newer ones come over others.
     */
    private static final long MAX_PASS_MILLIS = 600;

    private static final long LOG_INTERVAL_MILLIS = 5_000;

    private final EventLoop loop;
    private final LongSupplier clockMillis;
    private final Recipients recipients;
    private final PacedSender sender;
    private final DecisionLog log;
    private final ReportOutbox outbox = new ReportOutbox();

    /** Next time at which reports are passed on; null if there are none. */
    private ScheduledFuture<?> next;

    private boolean sending;

    /** Whether the next reports are to be passed on as soon as the ones before have been sent. */
    private boolean due;

    private long passedOnAtMillis = Long.MIN_VALUE / 2;
    private int passes;
    private int passesSinceLog;
    private int reportsSinceLog;
    private long loggedAtMillis;

    /** Hosts to which reports are passed on. */
    interface Recipients {
        /** Returns their names. */
        Set<String> hosts();

        /** Returns the time within which changed reports are passed on together. */
        long delayMillis();

        /** Returns the same for reports that only show that their hosts live. */
        long repeatedDelayMillis();

        /** Returns whether the recipients pass the reports on themselves; their messages then go first. */
        boolean passOn();
    }

    /** Creates an instance without any reports. */
    ReportPassOn(EventLoop loop, LongSupplier clockMillis, Recipients recipients, PacedSender sender, DecisionLog log) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clock");
        this.recipients = Objects.requireNonNull(recipients, "recipients");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Adds a report, which is passed on once. */
    void add(ObservedReport report) {
        ReportOutbox.Urgency urgency = outbox.add(report);
        if (urgency == ReportOutbox.Urgency.CHANGED) {
            schedule(recipients.delayMillis());
        } else if (urgency == ReportOutbox.Urgency.REPEATED) {
            schedule(recipients.repeatedDelayMillis());
        }
    }

    /** Returns when reports were passed on last, in milliseconds; in the far past if they never were. */
    long passedOnAtMillis() {
        return passedOnAtMillis;
    }

    /** Forgets the reports of hosts that are not in {@code hosts}. */
    void retain(Set<String> hosts) {
        outbox.retain(hosts);
    }

    /** Passes on after a delay at the latest. */
    private void schedule(long delayMillis) {
        if (due || (next != null && next.getDelay(TimeUnit.MILLISECONDS) <= delayMillis)) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        next = loop.schedule(this::passOn, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void passOn() {
        next = null;
        if (sending) {
            due = true;
            return;
        }
        passedOnAtMillis = clockMillis.getAsLong();
        List<String> hosts = hostsInTurn();
        long maxBytes = ReportTraffic.MAX_BYTES_PER_SECOND * MAX_PASS_MILLIS / 1_000 / Math.max(1, hosts.size());
        List<ObservedReport> reports = outbox.take(maxBytes, passedOnAtMillis);
        due = !outbox.isEmpty();
        logPass(reports.size(), hosts.size());
        if (reports.isEmpty() || hosts.isEmpty()) {
            due = false;
            return;
        }
        sending = true;
        PacedSender.Priority priority = recipients.passOn() ? PacedSender.Priority.URGENT : PacedSender.Priority.NORMAL;
        sender.send(hosts, messages(reports), priority, this::onSent);
    }

    private void onSent() {
        sending = false;
        if (due) {
            passOn();
        }
    }

    /** Returns the recipients in an order that changes from pass to pass, so that not always the same one is last. */
    private List<String> hostsInTurn() {
        List<String> hosts = new ArrayList<>(recipients.hosts());
        Collections.sort(hosts);
        Collections.rotate(hosts, passes++);
        return hosts;
    }

    private List<Supplier<EntryPeerMessage>> messages(List<ObservedReport> reports) {
        List<Supplier<EntryPeerMessage>> messages = new ArrayList<>();
        for (List<ObservedReport> message : ReportTraffic.messages(reports)) {
            messages.add(() -> bundle(message));
        }
        return messages;
    }

    private EntryPeerMessage bundle(List<ObservedReport> reports) {
        long nowMillis = clockMillis.getAsLong();
        List<EntryPeerMessage.AgedReport> aged = reports.stream()
                .map(report -> new EntryPeerMessage.AgedReport(
                        report.report(), report.version(), Math.max(0, nowMillis - report.atMillis())))
                .toList();
        return new EntryPeerMessage.ReportBundle(aged, recipients.passOn());
    }

    private void logPass(int reports, int hosts) {
        passesSinceLog++;
        reportsSinceLog += reports;
        if (passedOnAtMillis - loggedAtMillis >= LOG_INTERVAL_MILLIS) {
            log.write("reports-passed-on", "passes", passesSinceLog, "reports", reportsSinceLog, "recipients", hosts);
            loggedAtMillis = passedOnAtMillis;
            passesSinceLog = 0;
            reportsSinceLog = 0;
        }
    }
}
