package org.amaranthlock.entry.control;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.amaranthlock.entry.control.ConfigurationFleet.Host;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Adds up the time from an acknowledged change of the configuration until hosts apply it, in virtual time. */
class ConfigurationDelayTest {
    /** Share of the bound that the chain may use up; the rest is for a busy host. */
    private static final double USABLE_SHARE = 0.9;

    /** Time in which a host that has handled a request by a version must not handle one by an older version. */
    private static final long ROLLBACK_SLACK_MILLIS = 250;

    private static final int STEP_MILLIS = 70;

    // Guards against a follower that waits for a silent reader so long that a change comes late, and against intervals
    // that do not follow from the bound of the deployment.
    @ParameterizedTest
    @ValueSource(longs = {1_000, 1_500, 2_000, 2_500, 4_000})
    void changeIsInForceInTimeWhenReaderOfDomainFreezes(long applyMillis) {
        assertInForceInTime(applyMillis, Host::freeze);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 1_500, 2_000, 2_500, 4_000})
    void changeIsInForceInTimeWhenReaderOfDomainIsKilled(long applyMillis) {
        assertInForceInTime(applyMillis, Host::kill);
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 1_500, 2_000, 2_500, 4_000})
    void changeIsInForceInTimeWhenReaderOfDomainIsCutFromStore(long applyMillis) {
        assertInForceInTime(applyMillis, Host::cutFromStore);
    }

    // Guards against a host that asks a peer which knows no more, instead of repeating the read that was lost.
    @Test
    void announcedChangeIsInForceInTimeWhenOneReadIsLostBesideAReaderThatIsCutFromStore() {
        assertInForceInTime(2_500, true, Host::cutFromStore, Host::loseNextRead);
    }

    // As above, without a host that announces the change.
    @Test
    void changeIsInForceInTimeWhenOneReadIsLostBesideAReaderThatIsCutFromStore() {
        assertInForceInTime(2_500, false, Host::cutFromStore, Host::loseNextRead);
    }

    // As above, for a host that does not repeat the read by itself, since another one of its domain does.
    @Test
    void changeIsInForceInTimeWhenAReadOfEachOtherHostIsLostBesideAReaderThatIsCutFromStore() {
        for (long changeAt = 0; changeAt < 6_000; changeAt += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            Host reader = fleet.addHost("entry-1", "a", 2_500);
            Host successor = fleet.addHost("entry-2", "a", 2_500);
            Host other = fleet.addHost("entry-3", "a", 2_500);
            fleet.advance(3_000);
            reader.cutFromStore();
            fleet.advance(changeAt);
            fleet.write(2, 11);
            successor.loseNextRead();
            other.loseNextRead();
            long acknowledgedAt = fleet.nowMillis();
            fleet.advance(4_500);
            assertWithMessage("milliseconds until a change %s ms after the fault is in force", changeAt)
                    .that(other.inForceAtMillis(2) - acknowledgedAt)
                    .isAtMost((long) (2_500 * USABLE_SHARE));
        }
    }

    // Guards against a host that, after one event has silenced all open connections, asks one silent peer after the
    // other
    // instead of repeating the read that was lost; no announcement reaches it either.
    @Test
    void changeIsInForceInTimeWhenAllOpenConnectionsGoSilent() {
        for (long changeAt = 0; changeAt < 4_000; changeAt += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            List<Host> hosts = Stream.of("entry-1", "entry-2", "entry-3", "entry-4", "entry-5")
                    .map(name -> fleet.addHost(name, "a", 2_500))
                    .toList();
            fleet.advance(3_000);
            fleet.silenceOpenConnections();
            fleet.advance(changeAt);
            fleet.write(2, 11);
            long acknowledgedAt = fleet.nowMillis();
            fleet.advance(9_000);
            for (Host host : hosts) {
                assertWithMessage("milliseconds until a change %s ms after the silence is in force", changeAt)
                        .that(host.inForceAtMillis(2) - acknowledgedAt)
                        .isAtMost((long) (2_500 * USABLE_SHARE));
            }
        }
    }

    // Guards against requests that are handled by an older version after one of the same client host was passed to a
    // host of another domain, which knew the newer version.
    @Test
    void hostsOfDifferentDomainsLearnOfVersionWithinRollbackSlack() {
        for (long offset = 0; offset < 1_000; offset += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            Host first = fleet.addHost("entry-1", "a", 2_500);
            fleet.advance(offset);
            Host second = fleet.addHost("entry-2", "b", 2_500);
            fleet.advance(4_000);
            fleet.write(2, 11);
            fleet.advance(2_500);
            long apart = Math.abs(first.inForceAtMillis(2) - second.inForceAtMillis(2));
            assertWithMessage("started %s ms apart", offset).that(apart).isAtMost(ROLLBACK_SLACK_MILLIS);
        }
    }

    // Guards against a confirmation that lies in the future because the time of day of the reader jumped while it
    // answered: the follower reads the store late by the length of the jump, if the reader ends before the next change.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void changeIsInForceInTimeWhenTheClockOfTheReaderJumpsBeforeItIsKilled(boolean earlierBuild) {
        for (long jumpAt = 0; jumpAt < 1_000; jumpAt += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            Host reader = fleet.addHost("entry-1", "a", 2_500);
            Host follower = fleet.addHost("entry-2", "a", 2_500);
            if (earlierBuild) {
                reader.earlierBuild();
            }
            fleet.advance(3_000 + jumpAt);
            reader.jumpClock(6_000);
            fleet.advance(950);
            reader.kill();
            fleet.write(2, 11);
            long acknowledgedAt = fleet.nowMillis();
            fleet.advance(9_000);
            assertWithMessage("milliseconds until a change is in force after a jump at %s ms", jumpAt)
                    .that(follower.inForceAtMillis(2) - acknowledgedAt)
                    .isAtMost((long) (2_500 * USABLE_SHARE));
        }
    }

    // As above: keys are accepted by the age of the configuration, and a withdrawn one longer by the length of the
    // jump.
    @Test
    void hostBelievesNoConfirmationThatIsNewerThanTheReadWhenClocksOfOtherHostsJump() {
        for (long jumpAt = 0; jumpAt < 1_000; jumpAt += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            Host reader = fleet.addHost("entry-1", "a", 2_500);
            Host follower = fleet.addHost("entry-2", "a", 2_500);
            fleet.advance(3_000 + jumpAt);
            reader.jumpClock(2_000);
            assertConfirmedByReads(fleet, follower);
        }
    }

    // As above, for a host that gets the object of a new version from its reader, since the store is in another region.
    @Test
    void hostBelievesNoFetchedConfigurationThatIsNewerThanTheReadWhenClocksOfOtherHostsJump() {
        for (long jumpAt = 0; jumpAt < 200; jumpAt += STEP_MILLIS / 7) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.putBeyondLink(Set.of("b"), 100_000, true);
            fleet.write(1, 10);
            Host announcer = fleet.addHost("entry-1", "a", 2_500);
            Host reader = fleet.addHost("entry-2", "b", 2_500);
            Host follower = fleet.addHost("entry-3", "b", 2_500);
            fleet.advance(5_000);
            fleet.write(2, 11);
            // The query for the third version comes while the reader reads the second one, and waits for the next read.
            fleet.advanceUntil(() -> announcer.inForceAtMillis(2) < Long.MAX_VALUE);
            announcer.announce(3);
            fleet.advance(3 * ConfigurationFleet.ONE_WAY_MILLIS);
            fleet.write(3, 12);
            fleet.advance(jumpAt);
            reader.jumpClock(2_000);
            assertConfirmedByReads(fleet, follower);
        }
    }

    private static void assertConfirmedByReads(ConfigurationFleet fleet, Host host) {
        for (int i = 0; i < 1_500; i++) {
            fleet.advance(1);
            assertWithMessage("confirmed at").that(host.confirmedAtMillis()).isAtMost(fleet.lastReadMillis());
        }
    }

    // Guards against a configuration that is never applied because the store came back from an older copy, whose
    // revisions are lower than those that hosts have seen.
    @Test
    void newerVersionWithLowerRevisionIsApplied() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(1, 500);
        Host host = fleet.addHost("entry-1", "a", 2_500);
        fleet.advance(2_000);
        fleet.write(2, 400);
        fleet.advance(2_500);
        assertWithMessage("applied").that(host.inForceAtMillis(2)).isLessThan(Long.MAX_VALUE);
    }

    // Guards against a configuration that is never applied, and a withdrawn key that is accepted for good, because the
    // store came back from an older copy and gave the revision of a lost version to a new one.
    @Test
    void newerVersionWithTheRevisionOfALostOneIsAppliedInTime() {
        for (long changeAt = 0; changeAt < 2_000; changeAt += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            Host reader = fleet.addHost("entry-1", "a", 2_500);
            Host follower = fleet.addHost("entry-2", "a", 2_500);
            fleet.advance(2_000);
            fleet.write(2, 11);
            fleet.advance(2_500 + changeAt);
            fleet.write(3, 11);
            long acknowledgedAt = fleet.nowMillis();
            fleet.advance(2_500);
            for (Host host : List.of(reader, follower)) {
                assertWithMessage("milliseconds until the change %s ms later is in force", changeAt)
                        .that(host.inForceAtMillis(3) - acknowledgedAt)
                        .isAtMost((long) (2_500 * USABLE_SHARE));
            }
        }
    }

    // As above, when only the follower missed the change: what it knows has the revision that the reader has read.
    @Test
    void readerDoesNotConfirmAnotherVersionWithTheSameRevision() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(2, 11);
        Host follower = fleet.addHost("entry-2", "a", 2_500);
        fleet.advance(2_000);
        fleet.write(3, 11);
        Host reader = fleet.addHost("entry-1", "a", 2_500);
        fleet.advance(2_500);
        assertWithMessage("reader").that(reader.inForceAtMillis(3)).isLessThan(Long.MAX_VALUE);
        assertWithMessage("follower").that(follower.inForceAtMillis(3)).isLessThan(Long.MAX_VALUE);
    }

    // Load pattern: the store rejects all calls for seconds, and each host of a fleet repeats its read. Guards against
    // calls that cost more than the outage, and against a host that notices the return of the store late.
    @Test
    void hostReadsRejectingStoreSeldomAndNoticesItsReturn() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(1, 10);
        Host host = fleet.addHost("entry-1", "a", 4_000);
        fleet.advance(2_000);
        host.rejectedByStore(true);
        int before = host.reads();
        fleet.advance(10_000);
        assertWithMessage("reads in 10 s").that(host.reads() - before).isAtMost(14);
        host.rejectedByStore(false);
        fleet.advance(1_000);
        assertWithMessage("confirmed at").that(host.confirmedAtMillis()).isAtLeast(fleet.nowMillis() - 1_000);
    }

    // Guards against followers whose configuration seems an interval older than it is: they reject requests earlier.
    @Test
    void followerKnowsWhenItsConfigurationWasConfirmed() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(1, 10);
        fleet.addHost("entry-1", "a", 2_500);
        Host follower = fleet.addHost("entry-2", "a", 2_500);
        fleet.advance(5_000);
        for (int step = 0; step < 2_000; step += STEP_MILLIS) {
            fleet.advance(STEP_MILLIS);
            assertWithMessage("age")
                    .that(fleet.nowMillis() - follower.confirmedAtMillis())
                    .isAtMost(1_000);
        }
    }

    // Guards against followers that read the store again after each change, although their reader confirms it.
    @Test
    void followerReadsStoreOnceForEachChange() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(1, 10);
        fleet.addHost("entry-1", "a", 2_500);
        Host follower = fleet.addHost("entry-2", "a", 2_500);
        fleet.advance(5_000);
        int readsBefore = follower.reads();
        for (int version = 2; version <= 5; version++) {
            fleet.write(version, 10 + version);
            fleet.advance(3_100);
        }
        assertWithMessage("reads for four changes")
                .that(follower.reads() - readsBefore)
                .isEqualTo(4);
    }

    // Guards against a host that never hears of a change again because a handler of the polling failed once.
    @Test
    void pollingGoesOnAfterAProgramError() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(1, 10);
        List<Host> hosts = List.of(fleet.addHost("entry-1", "a", 2_500), fleet.addHost("entry-2", "a", 2_500));
        fleet.advance(2_000);
        hosts.forEach(Host::failNextConfirmation);
        fleet.advance(2_000);
        fleet.write(2, 11);
        long acknowledgedAt = fleet.nowMillis();
        fleet.advance(2_500);
        for (Host host : hosts) {
            assertWithMessage("applied").that(host.inForceAtMillis(2)).isAtMost(acknowledgedAt + 2_250);
        }
    }

    @Test
    void undecodableConfigurationIsNotAppliedAndNextOneIs() {
        ConfigurationFleet fleet = new ConfigurationFleet();
        fleet.write(1, 10);
        Host reader = fleet.addHost("entry-1", "a", 2_500);
        Host follower = fleet.addHost("entry-2", "a", 2_500);
        fleet.advance(2_000);
        fleet.writeUndecodable(11);
        fleet.advance(3_000);
        fleet.write(3, 12);
        long acknowledgedAt = fleet.nowMillis();
        fleet.advance(2_500);
        for (Host host : new Host[] {reader, follower}) {
            assertWithMessage("applied").that(host.inForceAtMillis(3)).isAtMost(acknowledgedAt + 2_250);
        }
    }

    private static void assertInForceInTime(long applyMillis, Consumer<Host> fault) {
        assertInForceInTime(applyMillis, false, fault, _ -> {});
    }

    private static void assertInForceInTime(
            long applyMillis, boolean announced, Consumer<Host> fault, Consumer<Host> followerFaultAtChange) {
        for (long changeAt = 0; changeAt < 6_000; changeAt += STEP_MILLIS) {
            ConfigurationFleet fleet = new ConfigurationFleet();
            fleet.write(1, 10);
            Host reader = fleet.addHost("entry-1", "a", applyMillis);
            Host follower = fleet.addHost("entry-2", "a", applyMillis);
            if (announced) {
                fleet.addHost("entry-3", "b", applyMillis);
            }
            fleet.advance(3_000);
            fault.accept(reader);
            fleet.advance(changeAt);
            fleet.write(2, 11);
            followerFaultAtChange.accept(follower);
            long acknowledgedAt = fleet.nowMillis();
            fleet.advance(applyMillis + 2_000);
            assertWithMessage("milliseconds until a change %s ms after the fault is in force", changeAt)
                    .that(follower.inForceAtMillis(2) - acknowledgedAt)
                    .isAtMost((long) (applyMillis * USABLE_SHARE));
        }
    }
}
