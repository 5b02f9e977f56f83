package org.amaranthlock.coordination.streamversion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.SoftwareVersion;

/**
 * Versions at which event streams began, as far as this host has sent them or was told by other hosts.
 *
 * <p>An attempt is recorded when it is sent. Two attempts of two versions may be sent before the first event; the later
 * one counts, because events of the earlier one are ignored from then on. Not thread-safe.
 */
public final class StreamVersions {
    /** Time for which a version is kept, in milliseconds; streams last for minutes at the most. */
    static final long RETENTION_MILLIS = 600_000;

    /** Versions that are kept at the most; the oldest ones are dropped. An entry takes about 100 bytes. */
    static final int MAX_ENTRIES = 100_000;

    /** Entries in the order in which they were recorded. */
    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    /** One object for each version, so that entries share it. */
    private final Map<SoftwareVersion, SoftwareVersion> interned = new HashMap<>();

    private record Entry(SoftwareVersion version, long recordedAtMillis) {}

    /** Records the version of an attempt that is being sent; it replaces that of an earlier attempt. */
    public void record(StreamKey stream, SoftwareVersion version, long nowMillis) {
        Objects.requireNonNull(stream, "stream");
        Objects.requireNonNull(version, "version");
        entries.remove(stream);
        entries.put(stream, new Entry(interned.computeIfAbsent(version, known -> known), nowMillis));
        expire(nowMillis);
    }

    /** Records what another host repeats from its memory; it replaces nothing, because it may be out of date. */
    public void recordRepeated(StreamKey stream, SoftwareVersion version, long nowMillis) {
        if (!entries.containsKey(stream)) {
            record(stream, version, nowMillis);
        }
    }

    /** Returns the version at which a stream began; empty if it is not known. */
    public Optional<SoftwareVersion> version(StreamKey stream) {
        return Optional.ofNullable(entries.get(stream)).map(Entry::version);
    }

    /** Returns all streams by version, to be repeated to a host that has just started. */
    public Map<SoftwareVersion, List<StreamKey>> streamsByVersion(long nowMillis) {
        expire(nowMillis);
        Map<SoftwareVersion, List<StreamKey>> streams = new HashMap<>();
        entries.forEach((stream, entry) ->
                streams.computeIfAbsent(entry.version(), _ -> new ArrayList<>()).add(stream));
        return streams;
    }

    /** Returns the number of streams whose version is kept. */
    public int size() {
        return entries.size();
    }

    private void expire(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = nowMillis - oldest.next().recordedAtMillis() >= RETENTION_MILLIS;
            if (!expired && entries.size() <= MAX_ENTRIES) {
                return;
            }
            oldest.remove();
        }
    }
}
