package org.amaranthlock.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.coordination.rollout.DurationBuckets;
import org.amaranthlock.coordination.rollout.RolloutEvidence;
import org.amaranthlock.coordination.rollout.RolloutGrant;
import org.amaranthlock.coordination.rollout.RolloutOrder;
import org.amaranthlock.coordination.rollout.RolloutStep;
import org.amaranthlock.coordination.rollout.RouteOutcomes;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.SoftwareVersion;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Codec for orders, grants and evidence of roll-outs within messages between entry hosts. */
final class RolloutMessageCodec {
    /** Code for an order that has no final step yet. */
    private static final String NOT_ENDED = "";

    private RolloutMessageCodec() {}

    static void packGrant(MessagePacker packer, RolloutGrant grant) throws IOException {
        packOrder(packer, grant.order());
        packer.packString(grant.holder());
        packer.packLong(grant.epoch());
        packer.packString(grant.step().key());
        packer.packDouble(grant.share());
        packer.packDouble(grant.targetShare());
    }

    static RolloutGrant unpackGrant(MessageUnpacker unpacker) throws IOException {
        return new RolloutGrant(
                unpackOrder(unpacker),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                step(unpacker.unpackString()),
                unpacker.unpackDouble(),
                unpacker.unpackDouble());
    }

    static void packEvidence(MessagePacker packer, RolloutEvidence evidence) throws IOException {
        packer.packString(evidence.host());
        packer.packLong(evidence.incarnation());
        packer.packString(evidence.service().value());
        packer.packString(evidence.orderId());
        packer.packString(evidence.step().key());
        packer.packArrayHeader(evidence.outcomes().size());
        for (RouteOutcomes outcomes : evidence.outcomes()) {
            packer.packString(outcomes.route());
            packer.packBoolean(outcomes.newVersion());
            packer.packLong(outcomes.sent());
            packer.packLong(outcomes.ended());
            packer.packLong(outcomes.answered());
            packer.packLong(outcomes.failures());
            packer.packArrayHeader(outcomes.durations().counts().size());
            for (int count : outcomes.durations().counts()) {
                packer.packInt(count);
            }
        }
    }

    static RolloutEvidence unpackEvidence(MessageUnpacker unpacker) throws IOException {
        String host = unpacker.unpackString();
        long incarnation = unpacker.unpackLong();
        ServiceName service = new ServiceName(unpacker.unpackString());
        String orderId = unpacker.unpackString();
        RolloutStep step = step(unpacker.unpackString());
        List<RouteOutcomes> outcomes = new ArrayList<>();
        for (int left = entries(unpacker); left > 0; left--) {
            outcomes.add(new RouteOutcomes(
                    unpacker.unpackString(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpackDurations(unpacker)));
        }
        return new RolloutEvidence(host, incarnation, service, orderId, step, outcomes);
    }

    static void packOrders(MessagePacker packer, EntryPeerMessage.RolloutOrdersTold told) throws IOException {
        packer.packString(told.host());
        packer.packLong(told.readAgeMillis());
        packer.packArrayHeader(told.orders().size());
        for (RolloutOrder order : told.orders()) {
            packOrder(packer, order);
            RolloutStep step = told.finalSteps().get(order.id());
            packer.packString(step == null ? NOT_ENDED : step.key());
        }
    }

    static EntryPeerMessage.RolloutOrdersTold unpackOrders(MessageUnpacker unpacker) throws IOException {
        String host = unpacker.unpackString();
        long readAgeMillis = unpacker.unpackLong();
        List<RolloutOrder> orders = new ArrayList<>();
        Map<String, RolloutStep> finalSteps = new HashMap<>();
        for (int left = entries(unpacker); left > 0; left--) {
            RolloutOrder order = unpackOrder(unpacker);
            orders.add(order);
            String step = unpacker.unpackString();
            if (!step.equals(NOT_ENDED)) {
                finalSteps.put(order.id(), step(step));
            }
        }
        return new EntryPeerMessage.RolloutOrdersTold(host, readAgeMillis, orders, finalSteps);
    }

    private static void packOrder(MessagePacker packer, RolloutOrder order) throws IOException {
        packer.packString(order.service().value());
        packer.packString(order.version().value());
        packer.packLong(order.durationMillis());
        packer.packString(order.id());
    }

    private static RolloutOrder unpackOrder(MessageUnpacker unpacker) throws IOException {
        return new RolloutOrder(
                new ServiceName(unpacker.unpackString()),
                new SoftwareVersion(unpacker.unpackString()),
                unpacker.unpackLong(),
                unpacker.unpackString());
    }

    private static DurationBuckets unpackDurations(MessageUnpacker unpacker) throws IOException {
        List<Integer> counts = new ArrayList<>();
        for (int left = entries(unpacker); left > 0; left--) {
            counts.add(unpacker.unpackInt());
        }
        return new DurationBuckets(counts);
    }

    private static int entries(MessageUnpacker unpacker) throws IOException {
        return EntryPeerMessageCodec.checkEntryCount(unpacker.unpackArrayHeader());
    }

    private static RolloutStep step(String key) {
        return RolloutStep.ofKey(key).orElseThrow(() -> new IllegalArgumentException("step " + key + " is unknown"));
    }
}
