import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's metadata store: lists, reads, watches, creates, replaces and deletes objects. It serves all
 * of its clients, and keeps its whole history.
 */
final class Store {
    private record Stored(String kind, String name, long revision, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                    + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Change(Stored object, boolean deleted, long revision) {}

    private final ServerSocket listener;
    private final Map<String, Map<String, Stored>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;

    Store() throws IOException {
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Creates or replaces an object; returns when it is acknowledged. */
    synchronized Object put(String kind, String name, String spec) {
        Stored before = kinds.computeIfAbsent(kind, _ -> new TreeMap<>()).get(name);
        if (before != null && before.spec().equals(spec)) {
            return before;
        }
        Stored stored = new Stored(kind, name, ++revision, spec);
        kinds.get(kind).put(name, stored);
        history.add(new Change(stored, false, revision));
        notifyAll();
        return stored;
    }

    synchronized void remove(String kind, String name) {
        Stored removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (removed != null) {
            revision++;
            history.add(new Change(new Stored(kind, name, revision, removed.spec()), true, revision));
            notifyAll();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String body = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
                Http.write(out, handle(head, body));
            }
        } catch (IOException e) {
            // The host has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String handle(Http.Head head, String body) throws InterruptedException {
        Map<String, String> query = Http.query(head.uri());
        String path = head.uri().split("\\?")[0].substring("/api/objects/".length());
        String[] parts = path.split("/", 2);
        String kind = parts[0];
        String name = parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "";
        return switch (head.method()) {
            case "GET" -> name.isEmpty() ? list(kind, query) : read(kind, name);
            case "POST" -> create(kind, nameIn(body), specIn(body));
            case "PUT" -> json(200, ((Stored) put(kind, name, specIn(body))).json());
            case "DELETE" -> {
                remove(kind, name);
                yield json(200, "{}");
            }
            default -> json(405, "{}");
        };
    }

    private synchronized String read(String kind, String name) {
        Stored found = kinds.getOrDefault(kind, Map.of()).get(name);
        return found == null ? json(404, "{}") : json(200, found.json());
    }

    private synchronized String create(String kind, String name, String spec) {
        Stored found = kinds.getOrDefault(kind, Map.of()).get(name);
        return found != null ? json(409, found.json()) : json(201, ((Stored) put(kind, name, spec)).json());
    }

    private synchronized String list(String kind, Map<String, String> query) throws InterruptedException {
        if (query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        List<String> items =
                kinds.getOrDefault(kind, Map.of()).values().stream().map(Stored::json).toList();
        return json(
                200, "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"current_rev\":" + revision + "}");
    }

    private String watch(String kind, long from, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> events = events(kind, from);
        while (events.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            events = events(kind, from);
        }
        return json(200, "{\"events\":[" + String.join(",", events) + "],\"current_rev\":" + revision + "}");
    }

    private List<String> events(String kind, long from) {
        return history.stream()
                .filter(change -> change.revision() > from && change.object().kind().equals(kind))
                .map(change -> "{\"deleted\":" + change.deleted() + ",\"object\":" + change.object().json() + "}")
                .toList();
    }

    private static String json(int status, String body) {
        return Http.response(status, body, "Content-Type: application/json");
    }

    private static String nameIn(String body) {
        int start = body.indexOf("\"name\":\"") + 8;
        return body.substring(start, body.indexOf('"', start));
    }

    /** Returns the member "spec", which the hosts write last. */
    private static String specIn(String body) {
        int start = body.indexOf("\"spec\":") + 7;
        return body.substring(start, body.lastIndexOf('}'));
    }
}
