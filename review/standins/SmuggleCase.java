import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A request whose transfer coding is not one that ends its body carries another request as its body.
 *
 * <p>Checks UNASKED: no worker runs the inner request, and none runs the outer one with another body. Without the
 * disruption the outer request has a length.
 */
final class SmuggleCase implements Case {
    private static final List<String> CODINGS = List.of("identity", "gzip", "xchunked");

    @Override
    public boolean ruleBroken(Path folder, boolean trouble) throws Exception {
        List<Worker> workers = new ArrayList<>();
        try (Store store = new Store("127.0.0.1")) {
            store.put("config", "main", Config.of(7, List.of("key-a"), 5_000));
            for (int i = 0; i < 3; i++) {
                Worker worker = new Worker("127.0.0.1", "i-" + i, "orders", "muc-halle1", store);
                workers.add(worker);
                worker.register();
            }
            try (Host host = new Host(folder, "127.0.0.1", "front-1", "muc-halle1", store.address())) {
                host.awaitReady();
                if (Client.order(host.front, "o-before", "key-a") != 200) {
                    throw new CannotRunException("no order is served");
                }
                for (String coding : CODINGS) {
                    send(host, coding, trouble);
                }
                Thread.sleep(500);
                return check();
            } finally {
                for (Worker worker : workers) {
                    worker.close();
                }
            }
        }
    }

    private static void send(Host host, String coding, boolean trouble) throws IOException {
        String inner = Client.head("POST", "/order/inner", "inner-" + coding, "key-a", 5_000, "Content-Length: 2\r\n\r\n{}");
        String framing = trouble ? "Transfer-Encoding: " + coding + "\r\n" : "Content-Length: " + inner.length() + "\r\n";
        Log.write("send id=outer-" + coding + " path=/order/outer " + framing.trim() + ", body of " + inner.length()
                + " bytes that reads like a request with id inner-" + coding);
        try (Client client = new Client(host.front, 1_500)) {
            client.write(Client.head("POST", "/order/outer", "outer-" + coding, "key-a", 5_000, framing + "\r\n" + inner));
            for (int i = 0; i < 2; i++) {
                Http.Message answer = client.read();
                Log.write("answer status=" + answer.status() + " id=" + answer.header("X-Request-Id") + " " + answer.text());
            }
        } catch (IOException e) {
            Log.write("no further answer: " + e.getMessage());
        }
    }

    private static boolean check() {
        boolean broken = false;
        for (Worker.Run run : Worker.RUNS) {
            if (run.id().startsWith("inner-")) {
                Log.write("UNASKED: " + run.worker() + " has run " + run.id() + ", which was inside another request");
                broken = true;
            }
            if (run.id().startsWith("outer-") && run.bodyBytes() == 0) {
                Log.write("UNASKED: " + run.worker() + " has run " + run.id() + " with an empty body");
                broken = true;
            }
        }
        return broken;
    }
}
