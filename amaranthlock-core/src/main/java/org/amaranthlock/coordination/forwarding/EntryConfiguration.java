package org.amaranthlock.coordination.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.amaranthlock.model.ServiceName;

/** One version of the configuration of the entry hosts; immutable. */
public final class EntryConfiguration {
    /** Connections that a target is assumed to accept if its service is not defined. */
    private static final int DEFAULT_MAX_CONNECTIONS = 16;

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<ServiceName, ServiceDefinition> services;
    private final Map<String, ApiKeyOwner> ownersByKey;
    private final Set<ServiceName> unequalServices;
    private final boolean keysRequired;
    private final RequestLimits limits;

    /**
     * Creates a configuration.
     *
     * @param ownersByKey owners by API key
     * @param keysRequired whether requests need a key, except on keyless routes
     */
    public EntryConfiguration(
            long version,
            List<Route> routes,
            Map<ServiceName, ServiceDefinition> services,
            Map<String, ApiKeyOwner> ownersByKey,
            boolean keysRequired,
            RequestLimits limits) {
        this.version = version;
        this.routesByHost = longestPrefixFirst(routes);
        this.services = Map.copyOf(services);
        this.ownersByKey = Map.copyOf(ownersByKey);
        this.unequalServices = unequalServices(routes, ownersByKey.values());
        this.keysRequired = keysRequired;
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns the version, which increases with each change. */
    public long version() {
        return version;
    }

    /** Returns whether requests need a key, except on keyless routes. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the limits on client requests and connections. */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the route of a host with the longest prefix that matches a path.
     *
     * @param host value of the {@code Host} header; a port is ignored
     * @param path path without query
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(hostName(host), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the owner of an API key; empty if the key is unknown. */
    public Optional<ApiKeyOwner> keyOwner(String key) {
        return Optional.ofNullable(ownersByKey.get(key));
    }

    /** Returns the routes of all hosts, by name. */
    public List<Route> routes() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .sorted(Comparator.comparing(Route::name))
                .toList();
    }

    /** Returns the owners of API keys, each once, by account. */
    public List<ApiKeyOwner> keyOwners() {
        return ownersByKey.values().stream()
                .distinct()
                .sorted(Comparator.comparing(owner -> owner.account().value()))
                .toList();
    }

    /**
     * Returns the definition of a service; by default, that of one without engines and with a small connection limit.
     */
    public ServiceDefinition service(ServiceName name) {
        ServiceDefinition found = services.get(name);
        return found != null ? found : new ServiceDefinition(name, DEFAULT_MAX_CONNECTIONS, false, 0, false, false);
    }

    /**
     * Returns whether requests for a service may be of unequal urgency: its routes differ in priority or latency goal, or
     * client accounts have different priorities.
     */
    public boolean hasUnequalRequests(ServiceName service) {
        return unequalServices.contains(service);
    }

    private static Set<ServiceName> unequalServices(List<Route> routes, Collection<ApiKeyOwner> owners) {
        boolean unequalAccounts =
                owners.stream().map(ApiKeyOwner::priority).distinct().count() > 1;
        Map<ServiceName, Set<List<Long>>> ranks = new HashMap<>();
        for (Route route : routes) {
            for (WeightedService choice : route.services()) {
                ranks.computeIfAbsent(choice.service(), _ -> new HashSet<>())
                        .add(List.of((long) route.priority(), route.latencyGoalMillis()));
            }
        }
        return ranks.entrySet().stream()
                .filter(entry -> unequalAccounts || entry.getValue().size() > 1)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Map<String, List<Route>> longestPrefixFirst(List<Route> routes) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(hostName(route.host()), _ -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> order =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length());
        byHost.values().forEach(list -> list.sort(order.reversed()));
        return byHost;
    }

    private static String hostName(String host) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
