package org.amaranthlock.coordination.region;

import org.amaranthlock.model.Region;

/** Receives decisions on the links between regions. */
public interface RegionLinkListener {
    /** A request was placed on a target in another region. */
    void onCrossing(Region region);

    /** A copy of a KV cache was not made because the link has too little left for it. */
    void onCopyLeftOut(Region region);

    /** The traffic on a link contradicts the set bandwidth; both in megabits per second. */
    void onBandwidthContradicted(Region region, double setMbps, double observedMbps);

    /** Returns a listener that does nothing. */
    static RegionLinkListener none() {
        return new RegionLinkListener() {
            @Override
            public void onCrossing(Region region) {}

            @Override
            public void onCopyLeftOut(Region region) {}

            @Override
            public void onBandwidthContradicted(Region region, double setMbps, double observedMbps) {}
        };
    }
}
