package org.amaranthlock.standin.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.amaranthlock.standin.fleet.FleetWorker;

/** Checks in the output of a worker that it executed no more requests than the limit allows that it named. */
final class LimitCheck {
    private static final Pattern LINE = Pattern.compile("^(limit|run) (\\S+).* at=(\\d+)$");
    private static final long WINDOW_MILLIS = 4_000;

    /** Time from the first response that names the limit, within which hosts need not keep it. */
    private static final long GRACE_MILLIS = 1_000;

    private static final double ALLOWED_FACTOR = 1.5;
    private static final double ALLOWED_EXTRA = 5;

    private final Deque<Long> window = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();
    private double limitPerSecond = Double.MAX_VALUE;
    private long countedFromMillis = Long.MAX_VALUE;

    /** Returns the violations in the output of one worker process. */
    static List<String> violations(Path output) throws IOException {
        LimitCheck check = new LimitCheck();
        for (String line : Files.readAllLines(output)) {
            Matcher matcher = LINE.matcher(line);
            if (matcher.matches()) {
                check.handle(matcher.group(1), matcher.group(2), Long.parseLong(matcher.group(3)));
            }
        }
        return check.violations;
    }

    private void handle(String kind, String value, long atMillis) {
        if (kind.equals("run")) {
            countRequest(atMillis);
            return;
        }
        window.clear();
        boolean ends = value.equals(FleetWorker.NO_LIMIT);
        countedFromMillis = ends ? Long.MAX_VALUE : atMillis + GRACE_MILLIS;
        limitPerSecond = ends ? Double.MAX_VALUE : Double.parseDouble(value);
    }

    private void countRequest(long atMillis) {
        if (atMillis < countedFromMillis) {
            return;
        }
        window.addLast(atMillis);
        while (atMillis - window.peekFirst() >= WINDOW_MILLIS) {
            window.removeFirst();
        }
        double allowed = ALLOWED_FACTOR * limitPerSecond * WINDOW_MILLIS / 1_000 + ALLOWED_EXTRA;
        if (window.size() > allowed) {
            violations.add("a worker that named a limit of " + limitPerSecond + " a second executed " + window.size()
                    + " requests in " + WINDOW_MILLIS + " ms, allowed " + allowed);
        }
    }
}
