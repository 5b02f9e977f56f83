package org.amaranthlock.coordination.configuration;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** Provides the configuration that is in force on this router. */
public interface ConfigurationView {
    /** Returns the configuration of a service. */
    Optional<ServiceSettings> service(ServiceName name);

    /** Returns all services, in order of name. */
    List<ServiceSettings> services();

    /** Returns the configuration of a client account. */
    Optional<AccountSettings> account(AccountId id);

    /** Returns the client account whose API key has the given SHA-256 digest, in lower-case hexadecimal. */
    Optional<AccountSettings> accountByKey(String keySha256);

    /** Returns all configured targets, in order of id. */
    List<Target> targets();

    /** Returns the highest revision of an entry up to which this router holds all entries. */
    long revision();

    /** Returns whether this router has caught up with its peers at least once since its start. */
    boolean isReady();
}
