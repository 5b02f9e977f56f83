package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.StoreChange;
import org.amaranthlock.platform.StoredObject;
import org.junit.jupiter.api.Test;

class PeerStoreServerTest {
    private final long[] now = {0};
    private final PeerStoreServer relay = new PeerStoreServer(() -> now[0]);
    private final List<EntryPeerMessage> replies = new ArrayList<>();

    @Test
    void confirmsAConfigurationWithTheNextReadAndReportsItsAge() {
        relay.onConfigurationRead(7, 0);
        relay.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, 7), replies::add);
        assertThat(replies).isEmpty();
        now[0] = 940;
        relay.onConfigurationRead(7, 900);
        assertThat(replies).containsExactly(new EntryPeerMessage.ConfigurationConfirmed(1, 40));
    }

    // Guards against a configuration that stays in force at a host because its neighbour only knows a newer one.
    @Test
    void doesNotConfirmAConfigurationThatIsNotTheNewest() {
        relay.onConfigurationRead(7, 0);
        relay.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, 6), replies::add);
        relay.handleQuery(new EntryPeerMessage.ConfigurationQuery(2, 7), replies::add);
        relay.onConfigurationRead(8, 900);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    // Guards against hosts that wait for a neighbour which has lost the store.
    @Test
    void saysAtOnceThatItDoesNotKnowWhenItsOwnReadsFail() {
        relay.onConfigurationRead(7, 0);
        relay.handleQuery(new EntryPeerMessage.ConfigurationQuery(1, 7), replies::add);
        relay.onConfigurationUnavailable();
        relay.handleQuery(new EntryPeerMessage.ConfigurationQuery(2, 7), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    @Test
    void tellsChangesOfTargetsToAHostThatLags() {
        relay.onWatchStarted(10);
        relay.onTargetsChanged(List.of(change("a", 11)), 11);
        relay.onTargetsChanged(List.of(change("b", 14)), 15);
        relay.handleQuery(new EntryPeerMessage.TargetsQuery(1, 11), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.TargetsChanged(1, 15, List.of(change("b", 14))));
    }

    // A removal may bear the revision of the change before it. Guards against removals that are not passed on.
    @Test
    void passesOnARemovalThatBearsAnOldRevision() {
        relay.onWatchStarted(10);
        StoreChange removal = new StoreChange(change("a", 4).object(), true);
        relay.onTargetsChanged(List.of(removal), 12);
        relay.handleQuery(new EntryPeerMessage.TargetsQuery(1, 10), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.TargetsChanged(1, 12, List.of(removal)));
    }

    @Test
    void answersAHostThatWaitsEvenIfNothingChanged() {
        relay.onWatchStarted(10);
        relay.handleQuery(new EntryPeerMessage.TargetsQuery(1, 10), replies::add);
        assertThat(replies).isEmpty();
        relay.onTargetsChanged(List.of(), 10);
        assertThat(replies).containsExactly(new EntryPeerMessage.TargetsChanged(1, 10, List.of()));
    }

    @Test
    void doesNotKnowChangesFromBeforeItsOwnWatch() {
        relay.handleQuery(new EntryPeerMessage.TargetsQuery(1, 9), replies::add);
        relay.onWatchStarted(10);
        relay.handleQuery(new EntryPeerMessage.TargetsQuery(2, 9), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1), new EntryPeerMessage.NotKnown(2));
    }

    // Guards against a hole between two watches of this host.
    @Test
    void forgetsItsChangesWhenItsWatchBeginsElsewhere() {
        relay.onWatchStarted(10);
        relay.onTargetsChanged(List.of(change("a", 11)), 11);
        relay.onWatchStarted(20);
        relay.handleQuery(new EntryPeerMessage.TargetsQuery(1, 10), replies::add);
        assertThat(replies).containsExactly(new EntryPeerMessage.NotKnown(1));
    }

    private static StoreChange change(String name, long revision) {
        return new StoreChange(new StoredObject(name, revision, JsonNodeFactory.instance.objectNode()), false);
    }
}
