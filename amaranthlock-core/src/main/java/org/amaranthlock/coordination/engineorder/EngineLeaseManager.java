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
 * Acquires and renews this router's lease on one engine group, and limits the rate of the weight loads ordered under
 * it.
 *
 * <p>All times are taken from this router's clock. A holder sends orders only until 7 s after it sent its last
 * successful renewal; a successor takes over only 10 s after it observed the last change of the lease. The difference
 * covers pauses of the holder. Each weight load is acquired from the token bucket stored in the lease before it is
 * ordered.
 */
final class EngineLeaseManager {
    static final long LEASE_MILLIS = 7_000;
    static final long TAKEOVER_DELAY_MILLIS = 10_000;
    /**
     * Takeover delay for engines that ignore fencing numbers; the longer delay allows for an order that was sent just
     * before the lease expired.
     */
    static final long TAKEOVER_DELAY_WITHOUT_FENCING_MILLIS = 13_000;

    private static final long RENEWAL_INTERVAL_MILLIS = 2_000;
    private static final long READ_INTERVAL_MILLIS = 1_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 5_000;
    /** Capacity of the token bucket in the lease, in weight loads. */
    private static final double MAX_LOAD_TOKENS = 2;

    private final String group;
    private final HostId self;
    private final double loadsPerSecond;
    private final OperationNumberGenerator numbers;
    private Optional<VersionedObject> observed = Optional.empty();
    private Optional<EngineLease> lastWritten = Optional.empty();
    private boolean upToDate;
    private long changeObservedMillis;
    private long tokensUpdatedMillis;
    private long validUntilMillis = Long.MIN_VALUE;
    private boolean loadReserved;
    private boolean pendingWriteReservesLoad;
    private long pendingOperation;
    private long operationSentMillis;
    private long writeSentMillis;
    private long nextOperationMillis;

    EngineLeaseManager(String group, HostId self, double loadsPerSecond, OperationNumberGenerator numbers) {
        this.group = group;
        this.self = self;
        this.loadsPerSecond = loadsPerSecond;
        this.numbers = numbers;
    }

    /**
     * Consumes the reserved load and returns the fencing number for its order; empty without a reserved load or without
     * a valid lease.
     */
    Optional<Long> tryAcquireLoad(long nowMillis) {
        if (!loadReserved || nowMillis >= validUntilMillis) {
            return Optional.empty();
        }
        loadReserved = false;
        return Optional.of(lease().orElseThrow().epoch());
    }

    /** Stops using the lease after an engine rejected its fencing number. */
    void onFenced() {
        validUntilMillis = Long.MIN_VALUE;
        nextOperationMillis = 0;
        upToDate = false;
    }

    void tick(boolean needed, boolean fencing, long nowMillis, List<Command> commands) {
        if (pendingOperation != 0 && nowMillis - operationSentMillis >= RESPONSE_TIMEOUT_MILLIS) {
            pendingOperation = 0;
            upToDate = false;
        }
        if (!needed || pendingOperation != 0 || nowMillis < nextOperationMillis) {
            return;
        }
        if (!upToDate) {
            sendRead(nowMillis, commands);
        } else if (isHolder()) {
            renew(nowMillis, commands);
        } else if (canTakeOver(fencing, nowMillis)) {
            takeOver(nowMillis, commands);
        } else {
            sendRead(nowMillis, commands);
        }
    }

    void handle(ObjectApiEvent event, long nowMillis) {
        switch (event) {
            case ObjectApiEvent.ReadDone done
            when done.operation() == pendingOperation -> onReadDone(done.object(), nowMillis);
            case ObjectApiEvent.WriteApplied applied
            when applied.operation() == pendingOperation -> {
                String key = key();
                onWriteApplied(
                        new VersionedObject(key, applied.version(), applied.revision(), lastWritten.orElseThrow()),
                        nowMillis);
            }
            case ObjectApiEvent.WriteConflicted conflicted
            when conflicted.operation() == pendingOperation -> scheduleRead();
            case ObjectApiEvent.WriteUnknown unknown when unknown.operation() == pendingOperation -> scheduleRead();
            case ObjectApiEvent.OperationFailed failed
            when failed.operation() == pendingOperation -> {
                pendingOperation = 0;
                nextOperationMillis = nowMillis + READ_INTERVAL_MILLIS;
            }
            default -> {}
        }
    }

    private void scheduleRead() {
        pendingOperation = 0;
        upToDate = false;
        nextOperationMillis = 0;
    }

    private void onReadDone(Optional<VersionedObject> object, long nowMillis) {
        pendingOperation = 0;
        upToDate = true;
        nextOperationMillis = isHolder() ? 0 : nowMillis + READ_INTERVAL_MILLIS;
        // A write whose result is unknown took effect if the read returns its value.
        boolean lastWriteApplied = lastWritten.isPresent()
                && object.map(VersionedObject::value).equals(lastWritten.map(EngineLease.class::cast));
        if (lastWriteApplied && !object.equals(observed)) {
            onWriteApplied(object.get(), nowMillis);
            return;
        }
        if (!object.map(VersionedObject::version).equals(observed.map(VersionedObject::version))) {
            observed = object;
            changeObservedMillis = nowMillis;
            tokensUpdatedMillis = nowMillis;
            if (!isHolder()) {
                validUntilMillis = Long.MIN_VALUE;
                loadReserved = false;
            }
        }
    }

    /** Records that the last write took effect; the lease is valid from the time when the write was sent. */
    private void onWriteApplied(VersionedObject object, long nowMillis) {
        pendingOperation = 0;
        upToDate = true;
        observed = Optional.of(object);
        changeObservedMillis = nowMillis;
        tokensUpdatedMillis = writeSentMillis;
        validUntilMillis = writeSentMillis + LEASE_MILLIS;
        loadReserved = loadReserved || pendingWriteReservesLoad;
        pendingWriteReservesLoad = false;
        // Without a reserved load, the holder renews sooner to reserve one.
        nextOperationMillis = writeSentMillis + (loadReserved ? RENEWAL_INTERVAL_MILLIS : READ_INTERVAL_MILLIS);
    }

    private boolean canTakeOver(boolean fencing, long nowMillis) {
        long wait = fencing ? TAKEOVER_DELAY_MILLIS : TAKEOVER_DELAY_WITHOUT_FENCING_MILLIS;
        return observed.isEmpty() || nowMillis - changeObservedMillis >= wait;
    }

    private void takeOver(long nowMillis, List<Command> commands) {
        long epoch = lease().map(EngineLease::epoch).orElse(0L) + 1;
        double tokens = lease().map(EngineLease::loadTokens).orElse(MAX_LOAD_TOKENS);
        pendingWriteReservesLoad = false;
        loadReserved = false;
        sendWrite(new EngineLease(group, self, epoch, 0, tokens), nowMillis, commands);
    }

    private void renew(long nowMillis, List<Command> commands) {
        EngineLease held = lease().orElseThrow();
        double addedTokens = (nowMillis - tokensUpdatedMillis) * loadsPerSecond / 1_000;
        double tokens = Math.min(MAX_LOAD_TOKENS, held.loadTokens() + addedTokens);
        pendingWriteReservesLoad = !loadReserved && tokens >= 1;
        double remaining = pendingWriteReservesLoad ? tokens - 1 : tokens;
        sendWrite(new EngineLease(group, self, held.epoch(), held.renewal() + 1, remaining), nowMillis, commands);
    }

    private void sendWrite(EngineLease lease, long nowMillis, List<Command> commands) {
        beginOperation(nowMillis);
        writeSentMillis = nowMillis;
        lastWritten = Optional.of(lease);
        long version = observed.map(VersionedObject::version).orElse(0L);
        commands.add(new ObjectApiCommand.Write(pendingOperation, key(), version, lease));
    }

    private void sendRead(long nowMillis, List<Command> commands) {
        beginOperation(nowMillis);
        commands.add(new ObjectApiCommand.Read(pendingOperation, key()));
    }

    private void beginOperation(long nowMillis) {
        pendingOperation = numbers.next();
        operationSentMillis = nowMillis;
    }

    private boolean isHolder() {
        return lease().map(lease -> lease.holder().equals(self)).orElse(false);
    }

    private Optional<EngineLease> lease() {
        return observed.map(object -> (EngineLease) object.value());
    }

    private String key() {
        return "engines/" + group;
    }
}
