package org.amaranthlock.transport.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** Holds one {@link TargetClient} per address and closes idle ones on later look-ups. Thread-safe. */
final class TargetClients {
    /** Targets are polled for their load far more often, so a client idle for this long belongs to a removed target. */
    static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final Map<String, TargetClient> clientsByAddress = new HashMap<>();

    synchronized TargetClient forAddress(String address) {
        closeIdleExcept(address);
        return clientsByAddress.computeIfAbsent(address, TargetClient::new);
    }

    synchronized void closeAll() {
        clientsByAddress.values().forEach(TargetClient::close);
        clientsByAddress.clear();
    }

    private void closeIdleExcept(String excludedAddress) {
        Iterator<Map.Entry<String, TargetClient>> entries =
                clientsByAddress.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, TargetClient> entry = entries.next();
            if (!entry.getKey().equals(excludedAddress) && entry.getValue().isIdleFor(IDLE_TIMEOUT)) {
                entry.getValue().close();
                entries.remove();
            }
        }
    }
}
