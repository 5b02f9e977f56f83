import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Main {
    /** Time after which the case ends as one that could not run. */
    private static final long LIMIT_MILLIS = 110_000;

    private Main() {}

    public static void main(String[] arguments) throws Exception {
        Log.open(Path.of(arguments[1]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Log.write("case " + arguments[0] + " trouble=" + trouble);
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Main::endHosts));
        int[] status = {2};
        Thread run = Thread.ofPlatform().start(() -> {
            try {
                status[0] = create(arguments[0]).ruleBroken(folder, trouble) ? 1 : 0;
            } catch (Exception e) {
                Log.write("the case could not run: " + e);
            }
        });
        run.join(LIMIT_MILLIS);
        endHosts();
        String keep = System.getenv("KEEP");
        if (keep == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println(folder);
        }
        String outcome = status[0] == 1 ? "the rule was broken" : status[0] == 0 ? "the rule held" : "the case could not run";
        Log.write(outcome);
        System.out.println(arguments[0] + ": " + outcome);
        Runtime.getRuntime().halt(status[0]);
    }

    /** Ends the hosts that are left, of a case that took too long or was interrupted. */
    private static void endHosts() {
        ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly);
    }

    private static Case create(String name) {
        return switch (name) {
            case "copy" -> new ForeignCopyCase();
            case "cut" -> new CutReaderCase();
            case "entry" -> new ForeignEntryCase();
            case "revoke" -> new RevokeAfterDrillCase();
            case "smuggle" -> new SmuggleCase();
            default -> throw new CannotRunException("there is no case " + name);
        };
    }
}
