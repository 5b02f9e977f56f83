package org.amaranthlock.router.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthlock.model.FailureDomain;
import org.amaranthlock.model.HostId;
import org.amaranthlock.model.Region;

/**
 * Settings of one router process.
 *
 * @param host where the process runs
 * @param httpAddress address that the HTTP server listens on
 * @param peer communication with other routers
 * @param platformAddress address of the platform's object API
 * @param operators SHA-256 hashes of the operators' keys in lower-case hexadecimal, by operator name
 * @param log format and level of the log
 * @param randomSeed seed of all random choices; if empty, a seed is derived from the start time and the host name
 */
public record RouterSettings(
        Host host,
        InetSocketAddress httpAddress,
        Peer peer,
        InetSocketAddress platformAddress,
        Map<String, String> operators,
        Log log,
        OptionalLong randomSeed) {
    private static final int ID_RADIX = 36;

    public RouterSettings {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(httpAddress, "httpAddress");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(platformAddress, "platformAddress");
        operators = Map.copyOf(operators);
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(randomSeed, "randomSeed");
    }

    /**
     * Returns the id of a process with these settings; the id is different for every start.
     *
     * @param startMillis start time of the process, in milliseconds since the epoch
     */
    public HostId hostId(long startMillis) {
        return new HostId(host.name() + "-" + Long.toString(startMillis, ID_RADIX));
    }

    /** Name and location of the process. */
    public record Host(String name, Region region, FailureDomain failureDomain) {}

    /**
     * Router that is contacted first to discover the others.
     *
     * @param name host name, without the start time that process ids contain
     * @param address IP address and port of its peer transport
     */
    public record Seed(String name, String address) {}

    /**
     * Settings of the communication with other routers.
     *
     * @param address address to listen on
     * @param advertised IP address and port that other routers connect to, if it differs from {@code address}
     * @param seeds routers that are contacted first
     * @param clusterKey secret that all routers share
     */
    public record Peer(InetSocketAddress address, Optional<String> advertised, List<Seed> seeds, String clusterKey) {
        public Peer {
            seeds = List.copyOf(seeds);
        }

        /** Omits the cluster key, so that it can't get into a log. */
        @Override
        public String toString() {
            return "Peer[address=" + address + ", advertised=" + advertised + ", seeds=" + seeds + "]";
        }
    }

    /**
     * Format and level of the log.
     *
     * @param json whether lines are JSON objects
     * @param level minimum level that is logged
     */
    public record Log(boolean json, String level) {}
}
