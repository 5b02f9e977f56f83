package org.amaranthlock.coordination.rollout;

import java.util.Objects;
import org.amaranthlock.model.Arguments;

/**
 * Progress of a roll-out together with the lease of its controller, as the store keeps it.
 *
 * @param orderId order to which the progress belongs
 * @param step step that the roll-out has reached
 * @param holder host whose controller holds the lease
 * @param epoch number that grows with each change of the holder; grants of a lower one are ignored
 * @param renewals number of writes of this holder, so that each renewal changes the object
 * @param elapsedMillis time since the order was first seen, in milliseconds
 */
public record RolloutProgress(
        String orderId, RolloutStep step, String holder, long epoch, long renewals, long elapsedMillis) {
    public RolloutProgress {
        Arguments.requireText(orderId, "order id");
        Objects.requireNonNull(step, "step");
        Arguments.requireText(holder, "holder");
        Arguments.requireNonNegative(elapsedMillis, "elapsed time");
    }
}
