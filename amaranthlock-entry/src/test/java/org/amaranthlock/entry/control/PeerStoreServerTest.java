package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.amaranthlock.coordination.forwarding.ClockReading;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoredObject;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

class PeerStoreServerTest {
    private final long[] nowMillis = {0};
    private final PeerStoreServer server = new PeerStoreServer(
            () -> ClockReading.of(nowMillis[0]),
            new ResponseBudget(
                    () -> nowMillis[0],
                    new DecisionLog(Logger.getLogger("peer-store-server-test"), () -> nowMillis[0])));
    private final List<EntryPeerMessage> replies = new ArrayList<>();

    @Test
    void confirmsConfigurationWithNextReadAndReportsWhenItWasSent() {
        server.onConfigurationRead(version(7), ClockReading.of(0));
        nowMillis[0] = 20;
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, version(7)), replies::add);
        assertThat(replies).isEmpty();
        nowMillis[0] = 940;
        server.onConfigurationRead(version(7), ClockReading.of(900));
        assertThat(replies).containsExactly(new EntryPeerMessage.ConfigurationConfirmed(1, 880));
    }

    // Guards against a confirmation that counts as newer than its read, which was under way when the query arrived.
    @Test
    void reportsReadThatWasSentBeforeQueryArrived() {
        server.onConfigurationRead(version(7), ClockReading.of(0));
        nowMillis[0] = 905;
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, version(7)), replies::add);
        nowMillis[0] = 940;
        server.onConfigurationRead(version(7), ClockReading.of(900));
        assertThat(replies).containsExactly(new EntryPeerMessage.ConfigurationConfirmed(1, -5));
    }

    // Guards against an outdated configuration that stays in force because a peer with a newer one confirms it.
    @Test
    void doesNotConfirmOutdatedConfiguration() {
        server.onConfigurationRead(version(7), ClockReading.of(0));
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, version(6)), replies::add);
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(2, version(7)), replies::add);
        server.onConfigurationRead(version(8), ClockReading.of(900));
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    // Guards against hosts that wait for a peer that cannot reach the store.
    @Test
    void repliesNotKnownAtOnceWhenLocalReadFails() {
        server.onConfigurationRead(version(7), ClockReading.of(0));
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, version(7)), replies::add);
        server.onConfigurationUnavailable();
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(2, version(7)), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    @Test
    void sendsRetainedTargetChangesToLaggingHost() {
        server.onWatchStarted(at(10));
        server.onTargetsChanged(List.of(change("a", 11)), at(11));
        server.onTargetsChanged(List.of(change("b", 14)), at(15));
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, at(11)), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.TargetsChanged(1, at(15), List.of(change("b", 14))));
    }

    // Guards against lost removals: a removal may have the revision of the preceding change.
    @Test
    void forwardsRemovalWithOldRevision() {
        server.onWatchStarted(at(10));
        StoreChange removal = new StoreChange(change("a", 4).object(), true);
        server.onTargetsChanged(List.of(removal), at(12));
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, at(10)), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.TargetsChanged(1, at(12), List.of(removal)));
    }

    @Test
    void repliesToPendingQueryWhenNothingChanged() {
        server.onWatchStarted(at(10));
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, at(10)), replies::add);
        assertThat(replies).isEmpty();
        server.onTargetsChanged(List.of(), at(10));
        assertThat(replies).containsExactly(new EntryPeerMessage.TargetsChanged(1, at(10), List.of()));
    }

    @Test
    void repliesNotKnownForChangesBeforeLocalWatch() {
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, at(9)), replies::add);
        server.onWatchStarted(at(10));
        server.handleQuery(new EntryPeerMessage.TargetsQuery(2, at(9)), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    // Guards against missing changes that occurred between two watches of this host.
    @Test
    void discardsRetainedChangesWhenWatchRestartsAtAnotherRevision() {
        server.onWatchStarted(at(10));
        server.onTargetsChanged(List.of(change("a", 11)), at(11));
        server.onWatchStarted(at(20));
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, at(10)), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1));
    }

    // Guards against a withdrawn key that is accepted for good: a store that came back from an older copy gave the
    // revision of a lost configuration to another one.
    @Test
    void doesNotConfirmOtherContentWithTheSameRevision() {
        server.onConfigurationRead(new ObjectVersion(7, OptionalLong.of(100)), ClockReading.of(0));
        server.handleQuery(
                new EntryPeerMessage.ConfigurationQuery(1, new ObjectVersion(7, OptionalLong.of(200))), replies::add);
        server.handleQuery(
                new EntryPeerMessage.ConfigurationQuery(2, new ObjectVersion(7, OptionalLong.of(100))), replies::add);
        server.onConfigurationRead(new ObjectVersion(7, OptionalLong.of(300)), ClockReading.of(900));
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    // Hosts of an earlier build name no content, and are answered by the revision.
    @Test
    void confirmsRevisionToHostOfEarlierBuild() {
        server.onConfigurationRead(new ObjectVersion(7, OptionalLong.of(100)), ClockReading.of(0));
        server.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, version(7)), replies::add);
        server.onConfigurationRead(new ObjectVersion(7, OptionalLong.of(100)), ClockReading.of(900));
        assertThat(replies).containsExactly(new EntryPeerMessage.ConfigurationConfirmed(1, 900));
    }

    /** Returns a version as hosts of an earlier build name it. */
    private static ObjectVersion version(long revision) {
        return new ObjectVersion(revision, OptionalLong.empty());
    }

    // Guards against hosts that hear of no change until the revisions of the new history have passed the old ones, and
    // against changes that they miss then.
    @Test
    void tellsHostWithAPositionInAnEarlierHistoryThatItMustListAnew() {
        StorePosition position = new StorePosition(2, 10);
        server.onWatchStarted(position);
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, new StorePosition(1, 500)), replies::add);
        server.handleQuery(new EntryPeerMessage.TargetsQuery(2, new StorePosition(1, 10)), replies::add);
        server.handleQuery(new EntryPeerMessage.TargetsQuery(3, new StorePosition(1, 4)), replies::add);
        assertThat(replies)
                .containsExactly(
                        new EntryPeerMessage.TargetsChanged(1, position, List.of()),
                        new EntryPeerMessage.TargetsChanged(2, position, List.of()),
                        new EntryPeerMessage.TargetsChanged(3, position, List.of()));
    }

    // Guards against hosts of an earlier build, which name no era, that cannot follow any more.
    @Test
    void sendsChangesToHostThatNamesNoEra() {
        server.onWatchStarted(new StorePosition(2, 10));
        server.handleQuery(new EntryPeerMessage.TargetsQuery(1, at(10)), replies::add);
        server.onTargetsChanged(List.of(change("a", 11)), new StorePosition(2, 11));
        assertThat(replies)
                .containsExactly(
                        new EntryPeerMessage.TargetsChanged(1, new StorePosition(2, 11), List.of(change("a", 11))));
    }

    /** Returns a position of a store that names no era. */
    private static StorePosition at(long revision) {
        return new StorePosition(StorePosition.UNKNOWN_ERA, revision);
    }

    private static StoreChange change(String name, long revision) {
        return new StoreChange(new StoredObject(name, revision, JsonNodeFactory.instance.objectNode()), false);
    }
}
