package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.amaranthlock.standin.fleet.FleetWorker;
import org.jboss.logging.Logger;

/**
 * Fault that is injected into a running fleet from outside its processes.
 *
 * @param description description for logs and reports
 * @param action what the fault does; returns when the fault is over, or at once if it kills all members of a role,
 *     which are restarted in the background
 */
record Fault(String description, Action action) {
    private static final Logger LOG = Logger.getLogger(Fault.class);
    private static final int KIND_COUNT = 12;
    private static final long DURATION_RANGE_MILLIS = 2_500;
    private static final long ROLLOUT_FAULT_RANGE_MILLIS = 2_000;

    /** Action of a fault. */
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** Creates a random fault; the same random numbers yield the same fault. */
    static Fault random(Random random, SoakFleet fleet) {
        int index = random.nextInt(fleet.members().size());
        SoakFleet.Member member = fleet.members().get(index);
        String memberName = member.role() + "-" + index;
        long millis = 100 + random.nextLong(DURATION_RANGE_MILLIS);
        String memberForDuration = memberName + " for " + millis + " ms";
        return switch (random.nextInt(KIND_COUNT)) {
            case 0, 1 -> new Fault("kill " + memberForDuration, () -> member.restart(false, millis));
            case 2 -> new Fault("stop " + memberForDuration, () -> member.restart(true, millis));
            case 3 -> new Fault("pause " + memberForDuration, () -> pause(member, millis));
            case 4 -> proxyFault("stall " + memberForDuration, member.proxy(), FaultProxy.Mode.STALL, millis);
            case 5 ->
                proxyFault(
                        "stall responses of " + memberForDuration,
                        member.proxy(),
                        FaultProxy.Mode.STALL_RESPONSES,
                        millis);
            case 6 -> proxyFault("delay " + memberForDuration, member.proxy(), FaultProxy.Mode.DELAY, millis);
            case 7 -> new Fault("reset " + memberName, member.proxy()::resetAll);
            case 8 -> storeFault(random, fleet.storeProxy(), millis);
            case 9 ->
                new Fault("kill all desks for " + millis + " ms", () -> killAll(fleet, SoakFleet.Role.DESK, millis));
            case 10 ->
                new Fault(
                        "kill all engines for " + millis + " ms", () -> killAll(fleet, SoakFleet.Role.ENGINE, millis));
            default -> new Fault("new configuration version", fleet::writeNewVersion);
        };
    }

    /** Creates a fault that makes a desk name a request rate limit for the given time. */
    static Fault requestLimit(Random random, SoakFleet fleet, long millis) {
        List<SoakFleet.Member> desks = fleet.members().stream()
                .filter(member -> member.role() == SoakFleet.Role.DESK)
                .toList();
        int index = random.nextInt(desks.size());
        double limit = 0.5 + random.nextInt(8) / 2.0;
        return new Fault("limit desk " + index + " to " + limit + " requests/s for " + millis + " ms", () -> {
            desks.get(index).nameRequestLimit(Double.toString(limit));
            Thread.sleep(millis);
            desks.get(index).nameRequestLimit(FleetWorker.NO_LIMIT);
        });
    }

    /**
     * Creates a release of the other engine version, after a delay: some engines are replaced one after the other, and
     * later restarts run it too. Half of the time the release is taken back.
     */
    static Fault release(Random random, SoakFleet fleet, long millis) {
        List<SoakFleet.Member> engines = fleet.members().stream()
                .filter(member -> member.role() == SoakFleet.Role.ENGINE)
                .toList();
        long delayMillis = random.nextLong(millis / 2);
        int replaced = 1 + random.nextInt(engines.size());
        boolean takenBack = random.nextBoolean();
        String description =
                "release to " + replaced + " engines after " + delayMillis + " ms" + (takenBack ? ", taken back" : "");
        return new Fault(description, () -> {
            Thread.sleep(delayMillis);
            fleet.engineVersion(SoakFleet.ENGINE_VERSIONS.getLast());
            for (SoakFleet.Member engine : engines.subList(0, replaced)) {
                engine.restart(true, 0);
            }
            if (takenBack) {
                fleet.engineVersion(SoakFleet.ENGINE_VERSIONS.getFirst());
                engines.getFirst().restart(true, 0);
            }
        });
    }

    /** Creates a fault beside a roll-out: hosts are killed, or the store is away, or nothing happens. */
    static Fault besideRollout(Random random, SoakFleet fleet) {
        List<SoakFleet.Member> hosts = fleet.members().stream()
                .filter(member -> member.role() == SoakFleet.Role.ENTRY)
                .toList();
        int index = random.nextInt(hosts.size());
        long delayMillis = 1_000 + random.nextLong(ROLLOUT_FAULT_RANGE_MILLIS);
        long millis = 500 + random.nextLong(ROLLOUT_FAULT_RANGE_MILLIS);
        String timing = " after " + delayMillis + " ms for " + millis + " ms";
        Fault fault = switch (random.nextInt(3)) {
            case 0 -> new Fault("no fault", () -> {});
            case 1 ->
                new Fault("kill entry-" + index + timing, () -> hosts.get(index).restart(false, millis));
            default -> proxyFault("stall store" + timing, fleet.storeProxy(), FaultProxy.Mode.STALL, millis);
        };
        return new Fault(fault.description, () -> {
            Thread.sleep(delayMillis);
            fault.action.run();
        });
    }

    /** Injects the fault; logs a failure, which occurs if the process is already down or the soak run has ended. */
    void inject() {
        try {
            action.run();
        } catch (IOException | IllegalStateException e) {
            LOG.warnf("Fault \"%s\" failed: %s", description, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Fault storeFault(Random random, FaultProxy store, long millis) {
        return switch (random.nextInt(5)) {
            case 0 -> new Fault("reset store", store::resetAll);
            case 4 -> new Fault("silence open connections to the store", store::silenceOpen);
            case 1 -> proxyFault("delay store for " + millis + " ms", store, FaultProxy.Mode.DELAY, millis);
            case 2 ->
                proxyFault(
                        "stall responses of store for " + millis + " ms",
                        store,
                        FaultProxy.Mode.STALL_RESPONSES,
                        millis);
            default -> proxyFault("stall store for " + millis + " ms", store, FaultProxy.Mode.STALL, millis);
        };
    }

    private static Fault proxyFault(String description, FaultProxy proxy, FaultProxy.Mode mode, long millis) {
        return new Fault(description, () -> {
            proxy.mode(mode);
            Thread.sleep(millis);
            proxy.mode(FaultProxy.Mode.PASS);
        });
    }

    private static void killAll(SoakFleet fleet, SoakFleet.Role role, long millis) {
        for (SoakFleet.Member member : fleet.members()) {
            if (member.role() == role) {
                Thread.ofVirtual()
                        .start(() -> new Fault("kill one " + role, () -> member.restart(false, millis)).inject());
            }
        }
    }

    private static void pause(SoakFleet.Member member, long millis) throws IOException, InterruptedException {
        member.signal("STOP");
        Thread.sleep(millis);
        member.signal("CONT");
    }
}
