package org.amaranthlock.standin.objectapi;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** List of hosts that shows each change only after a delay; thread-safe. */
final class HostList {
    private final LongSupplier nowMillis;
    private final long lagMillis;
    private final TreeMap<String, List<Entry>> entries = new TreeMap<>();

    /** Row of the list. */
    record Row(String name, String role, String address, String region, String failureDomain, boolean leaving) {}

    /** A row from a time on; {@code row} is null if the host was removed. */
    private record Entry(long sinceMillis, Row row) {}

    HostList(LongSupplier nowMillis, long lagMillis) {
        this.nowMillis = nowMillis;
        this.lagMillis = lagMillis;
    }

    synchronized void put(Row row) {
        entries.computeIfAbsent(row.name(), name -> new ArrayList<>()).add(new Entry(nowMillis.getAsLong(), row));
    }

    synchronized void remove(String name) {
        entries.computeIfAbsent(name, key -> new ArrayList<>()).add(new Entry(nowMillis.getAsLong(), null));
    }

    synchronized List<Row> visible() {
        long shown = nowMillis.getAsLong() - lagMillis;
        List<Row> rows = new ArrayList<>();
        for (List<Entry> versions : entries.values()) {
            Row row = null;
            for (Entry entry : versions) {
                if (entry.sinceMillis() <= shown) {
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
