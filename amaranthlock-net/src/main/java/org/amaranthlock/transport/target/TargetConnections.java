package org.amaranthlock.transport.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** One {@link TargetConnection} per address; unused ones are closed at later look-ups. Thread-safe. */
final class TargetConnections {
    /** Load polls arrive far more often, so a connection that is unused for this time belongs to a removed target. */
    static final Duration UNUSED_LIMIT = Duration.ofSeconds(60);

    private final Map<String, TargetConnection> byAddress = new HashMap<>();

    synchronized TargetConnection of(String address) {
        closeUnused(address);
        return byAddress.computeIfAbsent(address, TargetConnection::new);
    }

    synchronized void closeAll() {
        byAddress.values().forEach(TargetConnection::close);
        byAddress.clear();
    }

    private void closeUnused(String wanted) {
        Iterator<Map.Entry<String, TargetConnection>> entries =
                byAddress.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, TargetConnection> entry = entries.next();
            if (!entry.getKey().equals(wanted) && entry.getValue().unusedFor(UNUSED_LIMIT)) {
                entry.getValue().close();
                entries.remove();
            }
        }
    }
}
