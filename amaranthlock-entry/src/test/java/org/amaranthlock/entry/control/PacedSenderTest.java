package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.amaranthlock.coordination.loadreport.ObservedReport;
import org.amaranthlock.coordination.loadreport.ReportVersion;
import org.amaranthlock.entry.control.PacedSender.Priority;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.entry.peer.PeerFrame;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

/** Tests the rate and the order of messages to many hosts, in virtual time. */
class PacedSenderTest {
    private static final int BYTES_PER_SECOND = 100_000;
    private static final int REPORTS = 200;

    private long nowMillis;
    private long sentBytes;
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> receivers = new ArrayList<>();
    private final List<Long> ages = new ArrayList<>();
    private final PacedSender sender = new PacedSender(
            channel.eventLoop(),
            BYTES_PER_SECOND,
            () -> nowMillis,
            this::receive,
            new DecisionLog(Logger.getLogger("paced-sender-test"), () -> nowMillis));

    @Test
    void sendsNoMoreThanItsRateAndOneBurst() {
        channel.freezeTime();
        sender.send(hosts(100), List.of(this::bundle), Priority.NORMAL, () -> {});
        for (int step = 0; step < 20; step++) {
            long burst = 8 * 1_024 + PeerFrame.of(bundle()).bytes();
            assertThat(sentBytes).isAtMost(burst + nowMillis * BYTES_PER_SECOND / 1_000);
            advance(100);
        }
        assertThat(sentBytes).isAtLeast(BYTES_PER_SECOND * 19 / 10);
    }

    @Test
    void urgentMessagesOvertakeOthers() {
        channel.freezeTime();
        sender.send(hosts(20), List.of(this::bundle), Priority.NORMAL, () -> {});
        int before = receivers.size();
        sender.send(List.of("relay"), List.of(this::bundle), Priority.URGENT, () -> {});
        advance(300);
        assertThat(receivers.get(before)).isEqualTo("relay");
    }

    @Test
    void messageThatWaitsIsMadeAnewWithItsAge() {
        channel.freezeTime();
        sender.send(hosts(20), List.of(this::bundle), Priority.NORMAL, () -> {});
        advance(3_000);
        assertThat(receivers).hasSize(20);
        assertThat(ages.getLast()).isAtLeast(ages.getFirst() + 500);
    }

    @Test
    void tellsWhenTheLastMessageOfACallWasSent() {
        channel.freezeTime();
        List<Integer> sent = new ArrayList<>();
        Supplier<EntryPeerMessage> bundle = this::bundle;
        sender.send(hosts(10), List.of(bundle, bundle), Priority.NORMAL, () -> sent.add(receivers.size()));
        advance(3_000);
        assertThat(sent).containsExactly(20);
    }

    // Guards against a host that passes nothing on any more because one message could not be made.
    @Test
    void goesOnAfterAMessageThatCannotBeMade() {
        channel.freezeTime();
        List<Integer> sent = new ArrayList<>();
        Supplier<EntryPeerMessage> faulty = () -> {
            throw new IllegalStateException("sample fault");
        };
        sender.send(hosts(5), List.of(this::bundle, faulty), Priority.NORMAL, () -> sent.add(receivers.size()));
        advance(3_000);
        assertThat(sent).containsExactly(5);
        sender.send(hosts(5), List.of(this::bundle), Priority.NORMAL, () -> {});
        advance(3_000);
        assertThat(receivers).hasSize(10);
    }

    private void receive(String host, PeerFrame frame) {
        receivers.add(host);
        sentBytes += frame.bytes();
        if (frame.message() instanceof EntryPeerMessage.ReportBundle bundle) {
            ages.add(bundle.reports().getFirst().ageMillis());
        }
    }

    private EntryPeerMessage bundle() {
        return new EntryPeerMessage.ReportBundle(
                IntStream.range(0, REPORTS)
                        .mapToObj(
                                i -> new ObservedReport(ReportFleet.report("host-" + i, i), new ReportVersion(1, i), 0))
                        .map(report -> new EntryPeerMessage.AgedReport(report.report(), report.version(), nowMillis))
                        .toList(),
                false);
    }

    private static List<String> hosts(int count) {
        return IntStream.range(0, count).mapToObj(i -> "host-" + i).toList();
    }

    private void advance(int millis) {
        for (int step = 0; step < millis; step++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }
}
