package org.amaranthlock.standin.objectapi;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Eventually consistent list of hosts that exposes each change after a delay. Thread-safe. */
final class HostList {
    private final LongSupplier nowMillis;
    private final long delayMillis;
    private final TreeMap<String, List<TimedRow>> entries = new TreeMap<>();

    /** Row of the host list; the components are the fields of its JSON form. */
    record Row(String name, String role, String address, String region, String failureDomain, boolean leaving) {}

    /** Row that applies from the given time on; {@code row} is {@code null} if the host was removed. */
    private record TimedRow(long sinceMillis, Row row) {}

    HostList(LongSupplier nowMillis, long delayMillis) {
        this.nowMillis = nowMillis;
        this.delayMillis = delayMillis;
    }

    synchronized void put(Row row) {
        entries.computeIfAbsent(row.name(), name -> new ArrayList<>()).add(new TimedRow(nowMillis.getAsLong(), row));
    }

    synchronized void remove(String name) {
        entries.computeIfAbsent(name, key -> new ArrayList<>()).add(new TimedRow(nowMillis.getAsLong(), null));
    }

    synchronized List<Row> visibleRows() {
        long visibleUntil = nowMillis.getAsLong() - delayMillis;
        List<Row> rows = new ArrayList<>();
        for (List<TimedRow> versions : entries.values()) {
            Row row = null;
            for (TimedRow entry : versions) {
                if (entry.sinceMillis() <= visibleUntil) {
                    row = entry.row();
                }
            }
            if (row != null) {
                rows.add(row);
            }
        }
        return rows;
    }
}
