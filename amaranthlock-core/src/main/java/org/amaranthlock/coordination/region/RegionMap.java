package org.amaranthlock.coordination.region;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.Region;

/**
 * Regions of the failure domains as seen from one host; immutable.
 *
 * <p>A domain whose region is not known counts as part of every region, so that no traffic is restricted by mistake.
 */
public final class RegionMap {
    private final Optional<Region> localRegion;
    private final Map<FailureDomain, Region> regions;

    /** Creates the map of a host in {@code localDomain}. */
    public RegionMap(FailureDomain localDomain, Map<FailureDomain, Region> regions) {
        Objects.requireNonNull(localDomain, "local domain");
        this.regions = Map.copyOf(regions);
        this.localRegion = Optional.ofNullable(this.regions.get(localDomain));
    }

    /** Returns the region of this host; empty if it is not known. */
    public Optional<Region> localRegion() {
        return localRegion;
    }

    /** Returns the regions other than this host's; empty if its own is not known. */
    public Collection<Region> otherRegions() {
        TreeSet<Region> others = new TreeSet<>(regions.values());
        localRegion.ifPresentOrElse(others::remove, others::clear);
        return others;
    }

    /** Returns the region of a domain if this host is in another one. */
    public Optional<Region> otherRegion(FailureDomain domain) {
        return localRegion.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(regions.get(domain)).filter(region -> !region.equals(localRegion.get()));
    }

    /** Returns whether a domain is known to be in this host's region. */
    public boolean isLocal(FailureDomain domain) {
        return localRegion.isPresent() && localRegion.get().equals(regions.get(domain));
    }

    /** Returns whether two domains are in different regions. */
    public boolean differs(FailureDomain first, FailureDomain second) {
        Region region = regions.get(first);
        Region other = regions.get(second);
        return region != null && other != null && !region.equals(other);
    }
}
