package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.util.Random;
import org.jboss.logging.Logger;

/** One fault from outside the programs; {@link #inject} returns when it is over. */
record Fault(String description, Action action) {
    private static final Logger LOG = Logger.getLogger(Fault.class);
    private static final int KIND_COUNT = 12;
    private static final long MAX_DURATION_MILLIS = 2_500;

    /** What a fault does. */
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** Draws a fault; the same random numbers give the same fault. */
    static Fault random(Random random, SoakFleet fleet) {
        int place = random.nextInt(fleet.members().size());
        SoakFleet.Member member = fleet.members().get(place);
        String where = member.role() + "-" + place;
        long millis = 100 + random.nextLong(MAX_DURATION_MILLIS);
        String title = where + " for " + millis + " ms";
        return switch (random.nextInt(KIND_COUNT)) {
            case 0, 1 -> new Fault("kill " + title, () -> member.restart(false, millis));
            case 2 -> new Fault("stop " + title, () -> member.restart(true, millis));
            case 3 -> new Fault("pause " + title, () -> pause(member, millis));
            case 4 -> proxy("silence " + title, member.proxy(), FaultProxy.Mode.STALL, millis);
            case 5 -> proxy("no answers " + title, member.proxy(), FaultProxy.Mode.STALL_RESPONSES, millis);
            case 6 -> proxy("delay " + title, member.proxy(), FaultProxy.Mode.DELAY, millis);
            case 7 -> new Fault("reset " + where, member.proxy()::resetAll);
            case 8 -> storeFault(random, fleet.storeProxy(), millis);
            case 9 ->
                new Fault("kill all desks for " + millis + " ms", () -> killAll(fleet, SoakFleet.Role.DESK, millis));
            case 10 ->
                new Fault(
                        "kill all engines for " + millis + " ms", () -> killAll(fleet, SoakFleet.Role.ENGINE, millis));
            default -> new Fault("new version", fleet::writeNewVersion);
        };
    }

    /** Strikes; a fault at a process that is already down or at the end of the soak does nothing. */
    void inject() {
        try {
            action.run();
        } catch (IOException | IllegalStateException e) {
            LOG.warnf("%s: %s", description, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Fault storeFault(Random random, FaultProxy store, long millis) {
        return switch (random.nextInt(4)) {
            case 0 -> new Fault("reset store", store::resetAll);
            case 1 -> proxy("delay store for " + millis + " ms", store, FaultProxy.Mode.DELAY, millis);
            case 2 ->
                proxy("store loses answers for " + millis + " ms", store, FaultProxy.Mode.STALL_RESPONSES, millis);
            default -> proxy("silence store for " + millis + " ms", store, FaultProxy.Mode.STALL, millis);
        };
    }

    private static Fault proxy(String title, FaultProxy proxy, FaultProxy.Mode mode, long millis) {
        return new Fault(title, () -> {
            proxy.mode(mode);
            Thread.sleep(millis);
            proxy.mode(FaultProxy.Mode.PASS);
        });
    }

    private static void killAll(SoakFleet fleet, SoakFleet.Role role, long millis) {
        for (SoakFleet.Member member : fleet.members()) {
            if (member.role() == role) {
                Thread.ofVirtual().start(() -> new Fault("kill", () -> member.restart(false, millis)).inject());
            }
        }
    }

    private static void pause(SoakFleet.Member member, long millis) throws IOException, InterruptedException {
        member.signal("STOP");
        Thread.sleep(millis);
        member.signal("CONT");
    }
}
