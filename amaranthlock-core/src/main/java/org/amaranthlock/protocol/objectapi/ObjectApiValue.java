package org.amaranthlock.protocol.objectapi;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.amaranthlock.model.Arguments;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.protocol.peer.PeerMessage.FinalOutcome;

/** Value of an object that is stored in the platform. */
public sealed interface ObjectApiValue {
    /** Entry of a {@link LedgerBatch}. */
    sealed interface LedgerEntry {
        /** Returns the key that determines the partition. */
        String ledgerKey();
    }

    /**
     * Claim that grants an at-most-once request to one router.
     *
     * @param ledgerKey ledger key of the request
     * @param fingerprint hash of the request content
     * @param request the request
     * @param holder the only router that may dispatch it
     */
    record ClaimEntry(String ledgerKey, long fingerprint, RequestId request, HostId holder) implements LedgerEntry {
        public ClaimEntry {
            Arguments.requireText(ledgerKey, "ledgerKey");
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(holder, "holder");
        }
    }

    /** Final outcome of a request. */
    record OutcomeEntry(FinalOutcome outcome) implements LedgerEntry {
        @Override
        public String ledgerKey() {
            return outcome.record().ledgerKey();
        }
    }

    /**
     * Batch of entries at one position of a partition's log.
     *
     * @param partition the partition
     * @param sequence position in the log, from 1
     * @param batchId unique id of the batch, by which the writer recognizes it when it reads the position back
     * @param owner the router that owns the partition from this position on
     * @param entries the entries, in order
     */
    record LedgerBatch(int partition, long sequence, String batchId, HostId owner, List<LedgerEntry> entries)
            implements ObjectApiValue {
        public LedgerBatch {
            Arguments.requirePositive(sequence, "sequence");
            Arguments.requireText(batchId, "batchId");
            Objects.requireNonNull(owner, "owner");
            entries = List.copyOf(entries);
        }
    }

    /**
     * Snapshot of a partition's claims up to a log position, so that a new owner need not read the whole log.
     *
     * @param partition the partition
     * @param lastSequence last position that the snapshot contains
     * @param open claims, each with its log position as fencing number; includes the claims of {@code closed}, for
     *     their fingerprints
     * @param closed outcomes of at-most-once requests that have not expired
     */
    record LedgerSnapshot(int partition, long lastSequence, List<FencedClaim> open, List<FinalOutcome> closed)
            implements ObjectApiValue {
        public LedgerSnapshot {
            open = List.copyOf(open);
            closed = List.copyOf(closed);
        }
    }

    /** Claim with its fencing number. */
    record FencedClaim(ClaimEntry claim, long fence) {}

    /**
     * Version of a configuration entry.
     *
     * @param revision global revision of the platform at the write, or 0 before it is known
     * @param text the value as TOML, or empty if the entry is deleted
     * @param author name of the operator
     * @param changeId unique id of the change
     * @param atMillis time of the change, milliseconds since the epoch
     */
    record ConfigurationVersion(long revision, Optional<String> text, String author, String changeId, long atMillis) {
        public ConfigurationVersion {
            Objects.requireNonNull(text, "text");
            Objects.requireNonNull(author, "author");
            Arguments.requireText(changeId, "changeId");
        }
    }

    /**
     * Configuration entry with its most recent versions.
     *
     * @param kind kind of entry, for example {@code profile}
     * @param name name of the entry
     * @param version the current version
     * @param history previous versions, newest first, at most 10
     */
    record ConfigurationEntry(
            String kind, String name, ConfigurationVersion version, List<ConfigurationVersion> history)
            implements ObjectApiValue {
        public ConfigurationEntry {
            Arguments.requireText(kind, "kind");
            Arguments.requireText(name, "name");
            Objects.requireNonNull(version, "version");
            history = List.copyOf(history);
        }

        /** Returns the key of the platform object. */
        public String objectKey() {
            return "config/" + kind + "/" + name;
        }

        /** Returns the global revision of the current version. */
        public long revision() {
            return version.revision();
        }
    }

    /**
     * Lease that entitles its holder to send orders to a group of engines.
     *
     * @param group name of the engine group
     * @param holder the router that holds the lease
     * @param epoch fencing number, incremented at every change of holder
     * @param renewal number of renewals
     * @param loadTokens tokens for weight loads in the token bucket at the last renewal
     */
    record EngineLease(String group, HostId holder, long epoch, long renewal, double loadTokens)
            implements ObjectApiValue {
        public EngineLease {
            Arguments.requireText(group, "group");
            Objects.requireNonNull(holder, "holder");
        }
    }
}
