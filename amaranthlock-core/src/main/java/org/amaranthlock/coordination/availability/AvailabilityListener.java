package org.amaranthlock.coordination.availability;

import org.amaranthlock.model.TargetId;

/** Listener for what targets say of their availability. */
public interface AvailabilityListener {
    /** Called when a target has asked for a rest. */
    void onRestAsked(TargetId target, long millis);

    /** Called when a target has asked for a rest of a duration that cannot be read; {@code millis} is assumed. */
    void onUnusableRest(TargetId target, String text, long millis);

    /** Called when a target has said for the first time that it leaves. */
    void onLeaving(TargetId target);

    /** Returns a listener that does nothing. */
    static AvailabilityListener none() {
        return new AvailabilityListener() {
            @Override
            public void onRestAsked(TargetId target, long millis) {}

            @Override
            public void onUnusableRest(TargetId target, String text, long millis) {}

            @Override
            public void onLeaving(TargetId target) {}
        };
    }
}
