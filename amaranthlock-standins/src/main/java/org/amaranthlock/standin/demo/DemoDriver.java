package org.amaranthlock.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import org.amaranthlock.standin.ProcessLogging;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Sends generations and orders to routers while a script injects faults, and verifies all responses and records. */
@Command(
        name = "demo-driver",
        mixinStandardHelpOptions = true,
        description = "Generates the load of the demo and verifies responses and outcome records.")
public final class DemoDriver implements Callable<Integer> {
    @Option(names = "--routers", split = ",", required = true, description = "Addresses of the routers.")
    private List<String> routerAddresses;

    @Option(names = "--desks", split = ",", required = true, description = "Addresses of the order desks.")
    private List<String> deskAddresses;

    @Option(names = "--account-key", required = true, description = "API key of the client account.")
    private String accountKey;

    @Option(names = "--operator-key", required = true, description = "API key of an operator.")
    private String operatorKey;

    @Option(names = "--orders", defaultValue = "60", description = "Number of orders.")
    private int orders;

    @Option(names = "--long-answers", defaultValue = "9", description = "Number of long generations.")
    private int longGenerations;

    @Option(names = "--long-tokens", defaultValue = "600", description = "Tokens of a long generation.")
    private int longTokens;

    @Option(names = "--short-answers", defaultValue = "30", description = "Number of short generations.")
    private int shortGenerations;

    @Option(names = "--short-tokens", defaultValue = "20", description = "Tokens of a short generation.")
    private int shortTokens;

    @Option(names = "--spacing-millis", defaultValue = "100", description = "Time between two orders, in milliseconds.")
    private long spacingMillis;

    /** Runs the driver. The exit status is 0 only if all checks passed. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new DemoDriver()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException, ExecutionException, IOException {
        ProcessLogging.disableHttpLibraryLogging();
        try (ClientPool routers = new ClientPool(routerAddresses);
                ClientPool desks = new ClientPool(deskAddresses)) {
            String runId = Integer.toString(ThreadLocalRandom.current().nextInt(1 << 20), 36);
            DemoLoad.Workload workload = new DemoLoad.Workload(
                    longGenerations, longTokens, shortGenerations, shortTokens, orders, spacingMillis, runId);
            List<RequestResult> results = new DemoLoad(routers, workload, accountKey, System.out).run();
            return evaluate(results, new OutcomeRecordReader(routers, operatorKey), desks);
        }
    }

    private static int evaluate(List<RequestResult> results, OutcomeRecordReader adminClient, ClientPool desks)
            throws IOException {
        ReportPrinter report = new ReportPrinter(System.out);
        report.printHeader();
        List<List<JsonNode>> recordsOfResults = new ArrayList<>();
        for (RequestResult result : results) {
            List<JsonNode> records = new ArrayList<>();
            for (String requestId : result.requestIds()) {
                JsonNode record = adminClient.outcomeRecord(requestId);
                if (!record.isMissingNode()) {
                    records.add(record);
                }
                report.printRecord(result.label(), requestId, record);
            }
            recordsOfResults.add(records);
        }
        Summary summary = new Summary();
        Map<String, Integer> executions = OutcomeRecordReader.executions(desks);
        for (int i = 0; i < results.size(); i++) {
            RequestResult result = results.get(i);
            summary.add(result, recordsOfResults.get(i), executions.getOrDefault(result.label(), 0));
        }
        report.printTimeline(adminClient.timeline());
        summary.violations().forEach(violation -> System.out.println("violation: " + violation));
        System.out.println(summary.line());
        return summary.passed() ? 0 : 1;
    }
}
