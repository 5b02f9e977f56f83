package org.amaranthlock.coordination.rollout;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/**
 * Permission of a controller to send a share of a host's new requests to the new version of a service.
 *
 * @param order order that the controller carries out
 * @param holder host of the controller, to which evidence is sent
 * @param epoch epoch of the controller's lease, as a fencing token; hosts ignore grants of a lower epoch
 * @param step step of the roll-out
 * @param share share of the new requests that go to the new version, 0 to 1
 * @param targetShare share of the new version's targets that receive requests, 0 to 1; limited so that each is loaded
 *     about as much as a target of the old version
 */
public record RolloutGrant(
        RolloutOrder order, String holder, long epoch, RolloutStep step, double share, double targetShare) {
    /** Validity of a grant, in milliseconds; four times the interval of grants, so that lost messages do no harm. */
    public static final long VALIDITY_MILLIS = 2_000;

    public RolloutGrant {
        Objects.requireNonNull(order, "order");
        Arguments.requireText(holder, "holder");
        Objects.requireNonNull(step, "step");
        Arguments.require(share >= 0 && share <= 1, "share must be from 0 to 1: " + share);
        Arguments.require(targetShare >= 0 && targetShare <= 1, "target share must be from 0 to 1: " + targetShare);
    }
}
