package org.amaranthlock.coordination.configuration;

import java.util.List;
import java.util.Optional;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;
import org.amaranthlock.model.Target;

/** The configuration that is in force on this router. */
public interface ConfigurationView {
    /** Returns the configuration of a service. */
    Optional<ServiceSettings> service(ServiceName name);

    /** Returns all services, in order of name. */
    List<ServiceSettings> services();

    /** Returns the configuration of a client account. */
    Optional<AccountSettings> account(AccountId id);

    /** Returns the client account whose secret key has a SHA-256 in lower-case hexadecimal. */
    Optional<AccountSettings> accountByKey(String keySha256);

    /** Returns all configured targets, in order of id. */
    List<Target> targets();

    /** Returns the highest global revision that this router holds completely. */
    long revision();

    /** Tells whether this router holds a complete configuration. */
    boolean isReady();
}
