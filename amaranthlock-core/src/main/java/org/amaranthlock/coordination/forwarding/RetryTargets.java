package org.amaranthlock.coordination.forwarding;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.amaranthlock.coordination.placement.CandidateLoad;
import org.amaranthlock.model.SoftwareVersion;
import org.amaranthlock.model.TargetId;

/**
 * What the ended attempts of a request leave behind for the next one: targets to avoid, the version that began the
 * event stream, an engine that may still hold the prompt, and a copy of the KV cache. Not thread-safe.
 */
final class RetryTargets {
    /** Cause of decisions on an event stream because no target of the version that began it is left. */
    static final String VERSION_GONE = "version-gone";

    /** Cause of a lost attempt whose engine was restarted, so that it accepts connections but has lost all runs. */
    static final String RESTARTED = "restarted";

    /** Causes after which an attempt is not retried on the same engine: it has failed, or makes no progress. */
    private static final Set<String> NO_SAME_TARGET_CAUSES =
            Set.of("unreachable", "stalled", "no-first-event", RESTARTED);

    private final TargetLoadBalancer loadBalancer;
    private final ServiceDefinition service;
    private final long tokens;
    private final boolean returnsToHolder;
    private final Set<TargetId> avoided = new HashSet<>();

    /** KV cache copy of the last lost attempt. */
    private Optional<KvCacheCopy> usableCopy = Optional.empty();

    /** Engine that may still hold the prompt in its KV cache, otherwise null. */
    private EntryTarget promptHolder;

    private boolean returnedToHolder;
    private boolean avoidsPreemption;

    /** Version that began the event stream; empty while any version may. */
    private Optional<SoftwareVersion> streamVersion = Optional.empty();

    /**
     * Destination of an attempt.
     *
     * @param target target to which the request is sent
     * @param copy KV cache copy that the target resumes from
     * @param holdsPrompt whether the target is expected to hold the prompt, or a copy of its KV cache
     */
    record Destination(EntryTarget target, Optional<KvCacheCopy> copy, boolean holdsPrompt) {}

    RetryTargets(
            TargetLoadBalancer loadBalancer,
            ServiceDefinition service,
            long tokens,
            RouteKind kind,
            Mechanisms mechanisms) {
        this.loadBalancer = Objects.requireNonNull(loadBalancer, "load balancer");
        this.service = Objects.requireNonNull(service, "service");
        this.tokens = tokens;
        this.returnsToHolder = kind == RouteKind.STREAMING && mechanisms.uses(Mechanism.SAME_ENGINE_RETRY);
    }

    /** Returns whether an attempt went to an engine because it held the prompt. */
    boolean returnedToHolder() {
        return returnedToHolder;
    }

    /** Binds the event stream to the version that began it, unless it is bound already. */
    void bindTo(SoftwareVersion version) {
        if (streamVersion.isEmpty()) {
            streamVersion = Optional.of(version);
        }
    }

    /** Returns the version that began the event stream; empty while any version may. */
    Optional<SoftwareVersion> streamVersion() {
        return streamVersion;
    }

    /** Returns whether the event stream cannot go on, because only targets of other versions are left. */
    boolean isVersionGone() {
        return streamVersion.isPresent() && loadBalancer.isVersionGone(service.name(), streamVersion.get());
    }

    /** Returns what the target of the next attempt must satisfy. */
    TargetConstraint constraint() {
        return new TargetConstraint(avoided, streamVersion);
    }

    /** Returns the targets on which the request has failed. */
    Set<TargetId> avoided() {
        return avoided;
    }

    void avoid(EntryTarget target) {
        avoided.add(target.id());
    }

    void avoidAll(Collection<TargetId> targets) {
        avoided.addAll(targets);
    }

    /** Admits the targets again on which the request has failed. */
    void forgetAvoided() {
        avoided.clear();
    }

    /** Sets the copy from which a lost attempt can be resumed. */
    void offerCopy(Optional<KvCacheCopy> copy) {
        usableCopy = copy;
    }

    /** Returns the copy from which the lost attempt can be resumed. */
    Optional<KvCacheCopy> usableCopy() {
        return usableCopy;
    }

    /** Records that an attempt was lost; if its target may still hold the prompt, the next one goes there, but only once. */
    void recordLoss(EntryTarget target, String cause) {
        boolean mayHoldPrompt = returnsToHolder && !NO_SAME_TARGET_CAUSES.contains(cause);
        promptHolder = mayHoldPrompt && !returnedToHolder ? target : null;
    }

    /** Sets the engine that holds the prompt; the next attempt goes there if nothing speaks against it. */
    void preferHolder(EntryTarget engine) {
        promptHolder = engine;
    }

    /**
     * Prefers engines with room: the KV cache suffices, so that no running stream is preempted, and no prompt waits.
     */
    void avoidPreemption() {
        avoidsPreemption = true;
    }

    /** Chooses the destination of the next attempt: the holder of the prompt, a copy, or the best of all targets. */
    Optional<Destination> choose(long nowMillis) {
        Optional<EntryTarget> holder = takePromptHolder(nowMillis);
        if (holder.isPresent()) {
            return holder.map(target -> new Destination(target, Optional.empty(), true));
        }
        Optional<KvCacheCopy> copy = takeUsableCopy(nowMillis);
        return copy.map(KvCacheCopy::engine)
                .or(() -> chooseFirst(
                        constraint(),
                        constraint -> loadBalancer.chooseTarget(service, tokens, constraint, nowMillis),
                        nowMillis))
                .map(target -> new Destination(target, copy, copy.isPresent()));
    }

    /** Returns the engine to which {@link #choose} would return because it holds the prompt or a copy of its KV cache. */
    Optional<EntryTarget> previewHolder(long nowMillis) {
        return usableHolder(nowMillis).or(() -> freshCopy(nowMillis).map(KvCacheCopy::engine));
    }

    /**
     * Returns the first result of {@code choice} for the constraints under which a target is looked for: one that leaves
     * out engines without room, if these are avoided, and {@code all} last.
     */
    <T> Optional<T> chooseFirst(TargetConstraint all, Function<TargetConstraint, Optional<T>> choice, long nowMillis) {
        Optional<T> chosen = avoidsPreemption ? chooseWithoutPreemption(all, choice, nowMillis) : Optional.empty();
        return chosen.or(() -> choice.apply(all));
    }

    /**
     * Returns whether another target than {@code current} could start immediately. An engine needs room for it, because
     * it has to prefill the prompt again.
     */
    boolean hasAlternative(EntryTarget current, long nowMillis) {
        if (!service.engine()) {
            return true;
        }
        TargetConstraint others = constraint().alsoAvoiding(current.id());
        return loadBalancer.hasSpareCapacity(service, tokens, others, nowMillis);
    }

    /** Chooses among the engines where the prompt need not wait or, if there are none, among those where it fits. */
    private <T> Optional<T> chooseWithoutPreemption(
            TargetConstraint all, Function<TargetConstraint, Optional<T>> choice, long nowMillis) {
        List<CandidateLoad> usable = loadBalancer.usableLoads(service, all, nowMillis);
        List<CandidateLoad> full = usable.stream()
                .filter(engine -> !service.hasCapacity(engine.inFlight(), tokens, 1))
                .toList();
        List<CandidateLoad> busy = usable.stream()
                .filter(engine -> full.contains(engine) || engine.inFlight().prefilling() > 0)
                .toList();
        return chooseExcept(busy, usable, all, choice).or(() -> chooseExcept(full, usable, all, choice));
    }

    /** Chooses among the usable engines but some; if none is left, it would be one that is excluded after a failure. */
    private static <T> Optional<T> chooseExcept(
            List<CandidateLoad> engines,
            List<CandidateLoad> usable,
            TargetConstraint all,
            Function<TargetConstraint, Optional<T>> choice) {
        if (engines.size() == usable.size()) {
            return Optional.empty();
        }
        Set<TargetId> excluded = new HashSet<>(all.avoided());
        engines.forEach(engine -> excluded.add(engine.target().id()));
        return choice.apply(new TargetConstraint(excluded, all.version()));
    }

    private Optional<EntryTarget> takePromptHolder(long nowMillis) {
        Optional<EntryTarget> holder = usableHolder(nowMillis);
        promptHolder = null;
        returnedToHolder |= holder.isPresent();
        return holder;
    }

    private Optional<EntryTarget> usableHolder(long nowMillis) {
        return Optional.ofNullable(promptHolder)
                .filter(loadBalancer::isRegistered)
                .filter(constraint()::allowsVersionOf)
                .filter(engine -> loadBalancer.mayReceive(engine, nowMillis))
                .filter(engine -> !loadBalancer.isDomainFailing(engine.failureDomain(), nowMillis));
    }

    /** A copy can be used only once. */
    private Optional<KvCacheCopy> takeUsableCopy(long nowMillis) {
        Optional<KvCacheCopy> copy = freshCopy(nowMillis);
        usableCopy = Optional.empty();
        return copy;
    }

    private Optional<KvCacheCopy> freshCopy(long nowMillis) {
        return usableCopy
                .filter(kept -> constraint().allows(kept.engine()))
                .filter(kept -> loadBalancer.mayReceive(kept.engine(), nowMillis))
                .filter(kept -> loadBalancer.isReachable(kept.engine(), nowMillis));
    }
}
