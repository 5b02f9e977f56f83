package org.amaranthlock.protocol.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.AttemptId;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.RequestId;
import org.amaranthlock.model.ServiceResponse;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;

/** Message between two routers. */
public sealed interface PeerMessage {
    /**
     * News that travels with failure-detection messages.
     *
     * @param members news about routers
     * @param targets news about targets
     * @param poison blame for target deaths
     * @param configurationRevision highest configuration revision of the sender
     */
    record GossipPayload(
            List<MemberUpdate> members,
            List<TargetUpdate> targets,
            List<PoisonMark> poison,
            long configurationRevision) {
        public GossipPayload {
            members = List.copyOf(members);
            targets = List.copyOf(targets);
            poison = List.copyOf(poison);
        }
    }

    /** Asks the receiver for an {@link Ack} with the same sequence number. */
    record Ping(long sequence, GossipPayload gossip) implements PeerMessage {
        /** Sequence number that also asks for the receiver's whole list of routers, in further {@link Ack}s. */
        public static final long LIST_REQUEST = 0;
    }

    /** Answers a {@link Ping} or, on behalf of its subject, a {@link PingRequest}. */
    record Ack(long sequence, GossipPayload gossip) implements PeerMessage {}

    /** Asks the receiver to probe {@code subject} and to pass its answer on. */
    record PingRequest(long sequence, HostId subject, GossipPayload gossip) implements PeerMessage {}

    /** Asks the owner of a ledger partition for the claim of an at-most-once request. */
    record ClaimRequest(int partition, RequestId request, String ledgerKey, long fingerprint) implements PeerMessage {
        public ClaimRequest {
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(ledgerKey, "ledgerKey");
        }
    }

    /** Answers a {@link ClaimRequest}. */
    record ClaimReply(RequestId request, ClaimResult result) implements PeerMessage {}

    /**
     * Final outcome with the answer that a repeat of the request is given.
     *
     * @param record the outcome
     * @param response answer of an at-most-once request, if it is small enough to store
     */
    record FinalOutcome(OutcomeRecord record, Optional<ServiceResponse> response) {}

    /** Hands final outcomes to the owner of a ledger partition, which must acknowledge them. */
    record OutcomeBatch(int partition, long batch, List<FinalOutcome> outcomes) implements PeerMessage {
        public OutcomeBatch {
            outcomes = List.copyOf(outcomes);
        }
    }

    /** Confirms that the outcomes of a batch last. */
    record OutcomeAck(int partition, long batch) implements PeerMessage {}

    /** Tells that the receiver does not own a partition, with the owner that it knows. */
    record NotOwner(int partition, Optional<HostId> owner) implements PeerMessage {}

    /** Asks for the outcome of a request. */
    record OutcomeQuery(long query, String ledgerKey, RequestId request) implements PeerMessage {}

    /** Answers an {@link OutcomeQuery}. */
    record OutcomeReply(long query, Optional<OutcomeRecord> record) implements PeerMessage {}

    /** Stores the state of an open request at its keeper. */
    record CheckpointSave(Checkpoint checkpoint) implements PeerMessage {}

    /** Adds tokens to a stored checkpoint and moves it to the present attempt. */
    record CheckpointAppend(String ledgerKey, AttemptId attempt, TargetId target, int firstIndex, List<String> tokens)
            implements PeerMessage {
        public CheckpointAppend {
            tokens = List.copyOf(tokens);
        }
    }

    /** Removes a checkpoint whose request is closed. */
    record CheckpointDrop(String ledgerKey, RequestId request) implements PeerMessage {}

    /** Asks for the checkpoint of a request whose caller came to the sender. */
    record CheckpointQuery(long query, String ledgerKey) implements PeerMessage {}

    /** Answers a {@link CheckpointQuery}. */
    record CheckpointReply(long query, Optional<Checkpoint> checkpoint) implements PeerMessage {}

    /** Asks the present owner of a request to stop serving it, because its caller came to the sender. */
    record HandoverRequest(long query, String ledgerKey) implements PeerMessage {}

    /** Pushes changed configuration entries. */
    record ConfigPush(List<ConfigurationEntry> entries, long revision) implements PeerMessage {
        public ConfigPush {
            entries = List.copyOf(entries);
        }
    }

    /** Asks for the configuration entries after a revision. */
    record ConfigPull(long afterRevision) implements PeerMessage {}

    /**
     * Demand of an account at one router.
     *
     * @param account the account
     * @param tokensPerSecond demand since the last report
     */
    record AccountUsage(AccountId account, double tokensPerSecond) {}

    /** Reports demand to the stewards of accounts. */
    record UsageReport(List<AccountUsage> usages) implements PeerMessage {
        public UsageReport {
            usages = List.copyOf(usages);
        }
    }

    /**
     * Share of an account's limit.
     *
     * @param account the account
     * @param tokensPerSecond the share; empty when the account is unlimited
     */
    record AccountShare(AccountId account, OptionalDouble tokensPerSecond) {}

    /** Grants shares of account limits to the receiver. */
    record ShareGrant(List<AccountShare> shares) implements PeerMessage {
        public ShareGrant {
            shares = List.copyOf(shares);
        }
    }

    /**
     * Marks a stored checkpoint as complete.
     *
     * @param firstIndex position of the answer's first token in this message; the checkpoint holds those before
     * @param response the answer with only the tokens from that position on
     */
    record CompletedResponseSave(int firstIndex, CompletedResponse response) implements PeerMessage {}

    /** Answers a {@link CheckpointQuery} or {@link HandoverRequest} for a request that is complete. */
    record CompletedResponseReply(long query, CompletedResponse response) implements PeerMessage {}
}
