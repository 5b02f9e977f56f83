package org.amaranthlock.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Generates a seeded load on entry hosts, checks each response and prints one summary line.
 *
 * <p>Streams are resumed after a lost connection, lookups are retried after any failure, and orders are retried only if
 * they are known not to have run.
 */
@Command(
        name = "fleet-load",
        mixinStandardHelpOptions = true,
        description = "Generates a seeded load and checks the responses.")
public final class FleetLoad implements Callable<Integer> {
    @Option(names = "--entries", required = true, split = ",", description = "Addresses of the entry hosts, IP:PORT.")
    private List<String> entryHosts;

    @Option(names = "--streams", defaultValue = "30", description = "Number of streams.")
    private int streams;

    @Option(names = "--orders", defaultValue = "200", description = "Number of orders.")
    private int orders;

    @Option(names = "--lookups", defaultValue = "200", description = "Number of lookups.")
    private int lookups;

    @Option(
            names = "--millis",
            defaultValue = "8000",
            description = "Time over which the requests are started, in milliseconds.")
    private int startWindowMillis;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed for the start times and for the choice of entry hosts.")
    private long seed;

    /** Runs the load; the exit code is 1 if a response was wrong or a stream was never completed. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FleetLoad()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        Random random = new Random(seed);
        List<Future<LoadOutcome>> outcomes = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < streams + orders + lookups; i++) {
                int number = i;
                int delay = random.nextInt(startWindowMillis);
                int first = random.nextInt(entryHosts.size());
                outcomes.add(threads.submit(() -> {
                    Thread.sleep(delay);
                    return sendRequest(number, first);
                }));
            }
        }
        return printSummary(outcomes);
    }

    private LoadOutcome sendRequest(int number, int firstEntryHost) {
        LoadClient client = new LoadClient(entryHosts, firstEntryHost);
        if (number < streams) {
            return client.stream("s" + number);
        }
        return number < streams + orders ? client.order("o" + number) : client.lookup("l" + number);
    }

    private int printSummary(List<Future<LoadOutcome>> outcomes) throws Exception {
        Map<LoadOutcome, Integer> counts = new TreeMap<>();
        for (Future<LoadOutcome> outcome : outcomes) {
            counts.merge(outcome.get(), 1, Integer::sum);
        }
        StringBuilder line = new StringBuilder("load:");
        for (LoadOutcome outcome : LoadOutcome.values()) {
            line.append(' ').append(outcome.name().toLowerCase(java.util.Locale.ROOT));
            line.append('=').append(counts.getOrDefault(outcome, 0));
        }
        System.out.println(line);
        return counts.getOrDefault(LoadOutcome.WRONG, 0) == 0 && counts.getOrDefault(LoadOutcome.LOST_STREAM, 0) == 0
                ? 0
                : 1;
    }
}
