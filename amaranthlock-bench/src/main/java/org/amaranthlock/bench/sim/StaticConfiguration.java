package org.amaranthlock.bench.sim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.amaranthlock.coordination.configuration.AccountSettings;
import org.amaranthlock.coordination.configuration.ConfigurationView;
import org.amaranthlock.coordination.configuration.ServiceSettings;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** Configuration that does not change during a simulation. */
public final class StaticConfiguration implements ConfigurationView {
    private final List<ServiceSettings> services;
    private final Map<AccountId, AccountSettings> accounts = new TreeMap<>();
    private final List<Target> targets;

    /** Creates a configuration with the given services, accounts and targets. */
    public StaticConfiguration(List<ServiceSettings> services, List<AccountSettings> accounts, List<Target> targets) {
        this.services = List.copyOf(services);
        accounts.forEach(account -> this.accounts.put(account.id(), account));
        this.targets = List.copyOf(targets);
    }

    @Override
    public Optional<ServiceSettings> service(ServiceName name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    @Override
    public List<ServiceSettings> services() {
        return services;
    }

    @Override
    public Optional<AccountSettings> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    @Override
    public Optional<AccountSettings> accountByKey(String keySha256) {
        return accounts.values().stream()
                .filter(account -> account.keySha256().equals(keySha256))
                .findFirst();
    }

    @Override
    public List<Target> targets() {
        return targets;
    }

    @Override
    public long revision() {
        return 1;
    }

    @Override
    public boolean isReady() {
        return true;
    }
}
