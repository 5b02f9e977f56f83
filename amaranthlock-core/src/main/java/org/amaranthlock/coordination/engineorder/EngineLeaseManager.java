package org.amaranthlock.coordination.engineorder;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.ObjectApiCommand;
import org.amaranthlock.coordination.ObjectApiEvent;
import org.amaranthlock.coordination.OperationNumberGenerator;
import org.amaranthlock.model.HostId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.EngineLease;
import org.amaranthlock.protocol.objectapi.VersionedObject;

/**
 * This router's part in the lease of one engine group.
 *
 * <p>All times are of this router's own clock. A holder acts only until 7 s after it sent its last successful renewal;
 * a successor acts only 10 s after it saw the last change of the lease. The difference covers pauses of the holder.
 * Each weight load is taken from the token bucket in the lease before it is ordered.
 */
final class EngineLeaseManager {
    static final long LEASE_MILLIS = 7_000;
    static final long TAKEOVER_MILLIS = 10_000;
    /** Engines that ignore fencing numbers need time for an order that was sent at the last moment. */
    static final long TAKEOVER_WITHOUT_FENCING_MILLIS = 13_000;

    private static final long RENEWAL_MILLIS = 2_000;
    private static final long READ_MILLIS = 1_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 5_000;
    private static final double MAX_LOAD_TOKENS = 2;

    private final String group;
    private final HostId self;
    private final double loadsPerSecond;
    private final OperationNumberGenerator numbers;
    private Optional<VersionedObject> seen = Optional.empty();
    private Optional<EngineLease> written = Optional.empty();
    private boolean read;
    private long changeSeenMillis;
    private long tokensAtMillis;
    private long validUntilMillis = Long.MIN_VALUE;
    private boolean loadReserved;
    private boolean reserving;
    private long operation;
    private long sentMillis;
    private long writeSentMillis;
    private long nextMillis;

    EngineLeaseManager(String group, HostId self, double loadsPerSecond, OperationNumberGenerator numbers) {
        this.group = group;
        this.self = self;
        this.loadsPerSecond = loadsPerSecond;
        this.numbers = numbers;
    }

    /** Returns the fencing number if an order may be given now and a load was reserved for it; uses the load up. */
    Optional<Long> acquireLoad(long nowMillis) {
        if (!loadReserved || nowMillis >= validUntilMillis) {
            return Optional.empty();
        }
        loadReserved = false;
        return Optional.of(lease().orElseThrow().epoch());
    }

    /** Gives the lease up after an engine refused its fencing number. */
    void onFenced() {
        validUntilMillis = Long.MIN_VALUE;
        nextMillis = 0;
        read = false;
    }

    void tick(boolean needed, boolean fencing, long nowMillis, List<Command> commands) {
        if (operation != 0 && nowMillis - sentMillis >= ANSWER_TIMEOUT_MILLIS) {
            operation = 0;
            read = false;
        }
        if (!needed || operation != 0 || nowMillis < nextMillis) {
            return;
        }
        if (!read) {
            read(nowMillis, commands);
        } else if (heldBySelf()) {
            renew(nowMillis, commands);
        } else if (mayTake(fencing, nowMillis)) {
            take(nowMillis, commands);
        } else {
            read(nowMillis, commands);
        }
    }

    void handle(ObjectApiEvent event, long nowMillis) {
        switch (event) {
            case ObjectApiEvent.ReadDone done when done.operation() == operation -> readDone(done.object(), nowMillis);
            case ObjectApiEvent.WriteApplied applied
            when applied.operation() == operation -> {
                String key = key();
                applied(
                        new VersionedObject(key, applied.version(), applied.revision(), written.orElseThrow()),
                        nowMillis);
            }
            case ObjectApiEvent.WriteConflicted conflicted when conflicted.operation() == operation -> readAgain();
            case ObjectApiEvent.WriteUnknown unknown when unknown.operation() == operation -> readAgain();
            case ObjectApiEvent.OperationFailed failed
            when failed.operation() == operation -> {
                operation = 0;
                nextMillis = nowMillis + READ_MILLIS;
            }
            default -> {}
        }
    }

    private void readAgain() {
        operation = 0;
        read = false;
        nextMillis = 0;
    }

    private void readDone(Optional<VersionedObject> object, long nowMillis) {
        operation = 0;
        read = true;
        nextMillis = heldBySelf() ? 0 : nowMillis + READ_MILLIS;
        boolean ownWrite =
                written.isPresent() && object.map(VersionedObject::value).equals(written.map(EngineLease.class::cast));
        if (ownWrite && !object.equals(seen)) {
            applied(object.get(), nowMillis);
            return;
        }
        if (!object.map(VersionedObject::version).equals(seen.map(VersionedObject::version))) {
            seen = object;
            changeSeenMillis = nowMillis;
            tokensAtMillis = nowMillis;
            if (!heldBySelf()) {
                validUntilMillis = Long.MIN_VALUE;
                loadReserved = false;
            }
        }
    }

    /** Notes that the last write took effect; it counts from when it was sent. */
    private void applied(VersionedObject object, long nowMillis) {
        operation = 0;
        read = true;
        seen = Optional.of(object);
        changeSeenMillis = nowMillis;
        tokensAtMillis = writeSentMillis;
        validUntilMillis = writeSentMillis + LEASE_MILLIS;
        loadReserved = loadReserved || reserving;
        reserving = false;
        nextMillis = writeSentMillis + (loadReserved ? RENEWAL_MILLIS : READ_MILLIS);
    }

    private boolean mayTake(boolean fencing, long nowMillis) {
        long wait = fencing ? TAKEOVER_MILLIS : TAKEOVER_WITHOUT_FENCING_MILLIS;
        return seen.isEmpty() || nowMillis - changeSeenMillis >= wait;
    }

    private void take(long nowMillis, List<Command> commands) {
        long epoch = lease().map(EngineLease::epoch).orElse(0L) + 1;
        double tokens = lease().map(EngineLease::loadTokens).orElse(MAX_LOAD_TOKENS);
        reserving = false;
        loadReserved = false;
        write(new EngineLease(group, self, epoch, 0, tokens), nowMillis, commands);
    }

    private void renew(long nowMillis, List<Command> commands) {
        EngineLease held = lease().orElseThrow();
        double earned = (nowMillis - tokensAtMillis) * loadsPerSecond / 1_000;
        double tokens = Math.min(MAX_LOAD_TOKENS, held.loadTokens() + earned);
        reserving = !loadReserved && tokens >= 1;
        double left = reserving ? tokens - 1 : tokens;
        write(new EngineLease(group, self, held.epoch(), held.renewal() + 1, left), nowMillis, commands);
    }

    private void write(EngineLease lease, long nowMillis, List<Command> commands) {
        begin(nowMillis);
        writeSentMillis = nowMillis;
        written = Optional.of(lease);
        long version = seen.map(VersionedObject::version).orElse(0L);
        commands.add(new ObjectApiCommand.Write(operation, key(), version, lease));
    }

    private void read(long nowMillis, List<Command> commands) {
        begin(nowMillis);
        commands.add(new ObjectApiCommand.Read(operation, key()));
    }

    private void begin(long nowMillis) {
        operation = numbers.next();
        sentMillis = nowMillis;
    }

    private boolean heldBySelf() {
        return lease().map(lease -> lease.holder().equals(self)).orElse(false);
    }

    private Optional<EngineLease> lease() {
        return seen.map(object -> (EngineLease) object.value());
    }

    private String key() {
        return "engines/" + group;
    }
}
