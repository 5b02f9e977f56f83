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
     * Gossip that is piggybacked on failure-detection messages.
     *
     * @param members membership states of routers
     * @param targets drain states of targets
     * @param poison crash scores of requests
     * @param configurationRevision highest configuration revision known to the sender
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

    /** Requests an {@link Ack} with the same sequence number. */
    record Ping(long sequence, GossipPayload gossip) implements PeerMessage {
        /** Sequence number that also requests the receiver's complete list of routers, in additional {@link Ack}s. */
        public static final long LIST_REQUEST = 0;
    }

    /**
     * Replies to a {@link Ping} or, on behalf of its subject, to a {@link PingRequest}. With the sequence number 0 it
     * acknowledges no probe and only carries gossip.
     */
    record Ack(long sequence, GossipPayload gossip) implements PeerMessage {}

    /** Requests an indirect probe: the receiver pings {@code subject} and relays its {@link Ack}. */
    record PingRequest(long sequence, HostId subject, GossipPayload gossip) implements PeerMessage {}

    /** Requests the claim of an at-most-once request from the owner of its ledger partition. */
    record ClaimRequest(int partition, RequestId request, String ledgerKey, long fingerprint) implements PeerMessage {
        public ClaimRequest {
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(ledgerKey, "ledgerKey");
        }
    }

    /** Replies to a {@link ClaimRequest}. */
    record ClaimReply(RequestId request, ClaimResult result) implements PeerMessage {}

    /**
     * Final outcome of a request, with the response that is returned for its retries.
     *
     * @param record the outcome
     * @param response response of an at-most-once request, if it is small enough to store
     */
    record FinalOutcome(OutcomeRecord record, Optional<ServiceResponse> response) {}

    /** Submits final outcomes to the owner of a ledger partition, which must acknowledge them. */
    record OutcomeBatch(int partition, long batch, List<FinalOutcome> outcomes) implements PeerMessage {
        public OutcomeBatch {
            outcomes = List.copyOf(outcomes);
        }
    }

    /** Acknowledges that the outcomes of a batch are durable. */
    record OutcomeAck(int partition, long batch) implements PeerMessage {}

    /** Reports that the sender does not own a partition, and which router it considers the owner. */
    record NotOwner(int partition, Optional<HostId> owner) implements PeerMessage {}

    /**
     * Requests the outcome record of a request from the owner of its ledger partition.
     *
     * @param query query number, which is returned in the reply
     * @param ledgerKey not evaluated by the receiver
     * @param request the request, whose id contains the partition
     */
    record OutcomeQuery(long query, String ledgerKey, RequestId request) implements PeerMessage {}

    /** Replies to an {@link OutcomeQuery}. */
    record OutcomeReply(long query, Optional<OutcomeRecord> record) implements PeerMessage {}

    /** Stores the state of an open request on its backup router. */
    record CheckpointSave(Checkpoint checkpoint) implements PeerMessage {}

    /** Appends tokens to a stored checkpoint and updates its attempt and target. */
    record CheckpointAppend(String ledgerKey, AttemptId attempt, TargetId target, int firstIndex, List<String> tokens)
            implements PeerMessage {
        public CheckpointAppend {
            tokens = List.copyOf(tokens);
        }
    }

    /** Removes a checkpoint whose request is closed. */
    record CheckpointDrop(String ledgerKey, RequestId request) implements PeerMessage {}

    /** Requests the checkpoint of a request whose client reconnected to the sender. */
    record CheckpointQuery(long query, String ledgerKey) implements PeerMessage {}

    /** Replies to a {@link CheckpointQuery} or {@link HandoverRequest}. */
    record CheckpointReply(long query, Optional<Checkpoint> checkpoint) implements PeerMessage {}

    /** Requests that the current owner of a request stop serving it, because its client reconnected to the sender. */
    record HandoverRequest(long query, String ledgerKey) implements PeerMessage {}

    /** Pushes changed configuration entries. */
    record ConfigPush(List<ConfigurationEntry> entries, long revision) implements PeerMessage {
        public ConfigPush {
            entries = List.copyOf(entries);
        }
    }

    /** Requests the configuration entries after a revision. */
    record ConfigPull(long afterRevision) implements PeerMessage {}

    /**
     * Token demand of a client account at one router.
     *
     * @param account the account
     * @param tokensPerSecond average demand since the last report
     */
    record AccountUsage(AccountId account, double tokensPerSecond) {}

    /** Reports demand to the routers that divide the limits of the accounts. */
    record UsageReport(List<AccountUsage> usages) implements PeerMessage {
        public UsageReport {
            usages = List.copyOf(usages);
        }
    }

    /**
     * Share of a client account's limit.
     *
     * @param account the account
     * @param tokensPerSecond the share, or empty if the account is unlimited
     */
    record AccountShare(AccountId account, OptionalDouble tokensPerSecond) {}

    /** Assigns shares of account limits to the receiver. */
    record ShareGrant(List<AccountShare> shares) implements PeerMessage {
        public ShareGrant {
            shares = List.copyOf(shares);
        }
    }

    /**
     * Completes a stored checkpoint with the end of the response.
     *
     * @param firstIndex position of the first token in this message; the checkpoint holds the tokens before it
     * @param response the response, with only the tokens from that position on
     */
    record CompletedResponseSave(int firstIndex, CompletedResponse response) implements PeerMessage {}

    /** Replies to a {@link CheckpointQuery} or {@link HandoverRequest} if the request is already complete. */
    record CompletedResponseReply(long query, CompletedResponse response) implements PeerMessage {}
}
