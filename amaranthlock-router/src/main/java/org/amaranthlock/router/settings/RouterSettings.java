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
 * @param httpAddress address of the HTTP front
 * @param peer connection with other routers
 * @param platformAddress address of the platform's object API
 * @param operators SHA-256 hashes of the operators' keys in lower-case hexadecimal, by operator name
 * @param log form of the log
 * @param randomSeed seed of all random choices; empty for a random one
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
     * Returns the id of a process with these settings; every start is a new incarnation.
     *
     * @param startMillis start of the process, in milliseconds since the epoch
     */
    public HostId hostId(long startMillis) {
        return new HostId(host.name() + "-" + Long.toString(startMillis, ID_RADIX));
    }

    /** Place of the process. */
    public record Host(String name, Region region, FailureDomain failureDomain) {}

    /**
     * Router that is known from the settings.
     *
     * @param name host name without incarnation
     * @param address IP number and port of its peer transport
     */
    public record Seed(String name, String address) {}

    /**
     * Connection with other routers.
     *
     * @param address address to listen on
     * @param advertised IP number and port that other routers use, if it differs from {@code address}
     * @param seeds routers to ask first
     * @param clusterKey secret that all routers share
     */
    public record Peer(InetSocketAddress address, Optional<String> advertised, List<Seed> seeds, String clusterKey) {
        public Peer {
            seeds = List.copyOf(seeds);
        }

        @Override
        public String toString() {
            return "Peer[address=" + address + ", advertised=" + advertised + ", seeds=" + seeds + "]";
        }
    }

    /**
     * Form of the log.
     *
     * @param json whether lines are JSON objects
     * @param level lowest level that is written
     */
    public record Log(boolean json, String level) {}
}
