package org.amaranthlock.coordination.brittle;

import org.amaranthlock.model.TargetId;

/** Listener for what targets state about the rejections that they survive. */
public interface BrittleListener {
    /** Called when a target has stated how many rejections per second it survives, for the first time. */
    void onBrittle(TargetId target, int rejectionsPerSecond);

    /** Called when a target no longer states it. */
    void onRobust(TargetId target);

    /** Called when a target states a number that cannot be used, for the first such response. */
    void onUnusable(TargetId target, String text);

    /** Returns a listener that ignores all calls. */
    static BrittleListener none() {
        return new BrittleListener() {
            @Override
            public void onBrittle(TargetId target, int rejectionsPerSecond) {}

            @Override
            public void onRobust(TargetId target) {}

            @Override
            public void onUnusable(TargetId target, String text) {}
        };
    }
}
