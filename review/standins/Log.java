import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Record of what was sent, answered and run. */
final class Log {
    private static PrintWriter out;

    private Log() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    static synchronized void write(String line) {
        out.printf("%7d %s%n", Clock.millis(), line);
        out.flush();
    }
}
