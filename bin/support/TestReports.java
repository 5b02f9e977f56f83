import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Compares the test reports of all modules with the list of known failures.
 *
 * <p>A line of the list that starts with {@code test:} names a known failure as {@code Class.method}. The exit code is 0
 * if at least one test ran, none was skipped and no other test failed. An entry that passes is also an error, so that the
 * list remains accurate; only a line that starts with {@code intermittent:} names a test that may pass or fail.
 */
public final class TestReports {
    private TestReports() {}

    public static void main(String[] args) throws Exception {
        Set<String> always = entries(Path.of(args[0]), "test:");
        Set<String> known = new TreeSet<>(always);
        known.addAll(entries(Path.of(args[0]), "intermittent:"));
        List<Path> reports = reports(Path.of(args[1]));
        Set<String> failed = new TreeSet<>();
        int run = 0;
        int skipped = 0;
        for (Path report : reports) {
            NodeList cases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(report.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element test = (Element) cases.item(i);
                run++;
                if (test.getElementsByTagName("skipped").getLength() > 0) {
                    skipped++;
                }
                if (test.getElementsByTagName("failure").getLength() > 0
                        || test.getElementsByTagName("error").getLength() > 0) {
                    failed.add(test.getAttribute("classname") + "." + test.getAttribute("name"));
                }
            }
        }
        Set<String> unexpected = new TreeSet<>();
        Set<String> matchedEntries = new TreeSet<>();
        for (String test : failed) {
            List<String> entries = known.stream().filter(test::startsWith).toList();
            matchedEntries.addAll(entries);
            if (entries.isEmpty()) {
                unexpected.add(test);
            } else {
                System.out.println("known failure: " + test);
            }
        }
        Set<String> stale = new TreeSet<>(always);
        stale.removeAll(matchedEntries);
        unexpected.forEach(test -> System.out.println("FAILED: " + test));
        stale.forEach(test -> System.out.println("listed as known failure but passed: " + test));
        if (skipped > 0) {
            System.out.println("skipped tests are not allowed: " + skipped);
        }
        System.out.println((run - failed.size() - skipped) + " passed, " + unexpected.size() + " failed");
        System.exit(run == 0 || skipped > 0 || !unexpected.isEmpty() || !stale.isEmpty() ? 1 : 0);
    }

    private static Set<String> entries(Path list, String prefix) throws IOException {
        Set<String> tests = new TreeSet<>();
        if (Files.exists(list)) {
            for (String line : Files.readAllLines(list)) {
                if (line.startsWith(prefix)) {
                    tests.add(line.substring(prefix.length()).trim());
                }
            }
        }
        return tests;
    }

    private static List<Path> reports(Path root) throws IOException {
        List<Path> reports = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root, 4)) {
            files.filter(file -> file.toString().contains("surefire-reports")
                            && file.getFileName().toString().startsWith("TEST-"))
                    .sorted()
                    .forEach(reports::add);
        }
        return reports;
    }
}
