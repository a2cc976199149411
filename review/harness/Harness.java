import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for the scripts of this review: the platform's store, targets, clients, and the start of nodes as separate processes
 * with the run line of deploy/system.toml. Everything listens on 127.0.0.1.
 */
final class Harness implements AutoCloseable {
    static final String HOST = "hulo84.example";
    static final Charset8 TEXT = new Charset8();

    final Recorder recorder;
    final Path folder;
    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    final List<Target> targets = new ArrayList<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Harness(Path caseFolder) throws IOException {
        recorder = new Recorder(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
    }

    /** Runs a case and ends this process with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] args, Case body) {
        int code = 2;
        try (Harness harness = new Harness(Path.of(args[0]))) {
            try {
                code = body.run(harness) ? 1 : 0;
            } catch (Exception | AssertionError e) {
                harness.recorder.line("case could not run: " + e);
                e.printStackTrace();
            }
            harness.recorder.line("exit code " + code);
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Harness harness) throws Exception;
    }

    @Override
    public void close() throws IOException {
        killNodes();
        targets.forEach(Target::close);
        store.close();
        recorder.close();
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Collections.reverseOrder()).toList()) Files.delete(file);
        }
    }

    private void killNodes() {
        nodes.forEach(Node::kill);
    }

    Target newTarget(String id, String service, int slots, Target.Behaviour behaviour) throws IOException {
        Target target = new Target(this, id, service, slots, behaviour);
        targets.add(target);
        return target;
    }

    Node newNode(String id, String zone, Target target) throws IOException {
        Node node = new Node(this, id, zone, target);
        nodes.add(node);
        target.control = "127.0.0.1:" + node.ports[5];
        node.start();
        return node;
    }

    static void await(String what, long ms, Check check) throws Exception {
        long end = System.nanoTime() + ms * 1_000_000;
        while (!check.holds()) {
            if (System.nanoTime() > end) throw new IllegalStateException("not reached: " + what);
            Thread.sleep(20);
        }
    }

    interface Check {
        boolean holds() throws Exception;
    }

    static final class Charset8 {
        byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** Writes what was sent, answered and run, with milliseconds since the start. */
    static final class Recorder implements AutoCloseable {
        private final java.io.PrintWriter out;
        private final long start = System.nanoTime();

        Recorder(Path file) throws IOException {
            out = new java.io.PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String text) {
            out.printf("%7d ms  %s%n", (System.nanoTime() - start) / 1_000_000, text);
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** A node: a separate process, started with the run line of the deploy file. */
    static final class Node {
        final String id;
        final int[] ports;
        private final Harness harness;
        private final Path settings;
        private Process process;
        int starts;

        Node(Harness harness, String id, String zone, Target target) throws IOException {
            this.harness = harness;
            this.id = id;
            ports = freePorts(6);
            settings = harness.folder.resolve(id + ".toml");
            Files.writeString(settings, """
                nodeId = "%s"
                role = "node"
                machineClass = "sidecar"
                serves = ["sidecar"]
                ip = "127.0.0.1"
                zone = "%s"
                region = "th-central"
                internalPorts = [%d,%d]
                seedNodes = []
                bootstrap = true
                inFaultBudget = false
                discovery = "static"
                entry = "static"
                heartbeat = "1500ms"
                appAddr = "127.0.0.1:%d"
                service = "%s"
                [listenAddrs]
                inbound = "127.0.0.1:%d"
                outbound = "127.0.0.1:%d"
                ready = "127.0.0.1:%d"
                control = "127.0.0.1:%d"
                [limits]
                cpuShare = 0.6
                cores = 1
                memoryMb = 280
                maxFds = 4100
                [platform]
                address = "127.0.0.1:%d"
                form = "log"
                """.formatted(id, zone, ports[0], ports[1], target.port, target.service, ports[2], ports[3], ports[4], ports[5],
                harness.store.port()));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(runLine().split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("LYCHEEHILL_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(harness.folder.resolve(id + ".log").toFile()));
            process = builder.start();
            starts++;
            harness.recorder.line("node " + id + " started");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void kill() {
            if (process != null) process.destroyForcibly();
        }

        void terminate() {
            process.destroy();
        }

        long pid() {
            return process.pid();
        }

        int waitForExit() throws InterruptedException {
            return process.waitFor();
        }

        /** Sends a signal to the process, for example STOP or CONT. */
        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, "" + pid()).inheritIO().start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(harness.folder.resolve(id + ".log"));
        }

        int outbound() {
            return ports[3];
        }

        boolean isReady() {
            return status("GET", "http://127.0.0.1:" + ports[4] + "/v1/readiness", null) == 200;
        }

        void awaitReady() throws Exception {
            await("node " + id + " is ready", 20_000, this::isReady);
        }

        private static String runLine() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            throw new IOException("deploy/system.toml has no run line");
        }
    }

    /** Returns consecutive free ports below the range of outgoing connections. */
    static int[] freePorts(int count) {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(10_000, 30_000);
            int[] ports = new int[count];
            int found = 0;
            for (; found < count; found++) {
                ports[found] = first + found;
                try {
                    new ServerSocket(ports[found], 1, InetAddress.getLoopbackAddress()).close();
                    continue;
                } catch (IOException e) {
                    break;
                }
            }
            if (found == count) return ports;
        }
    }

    static int status(String method, String url, String body) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            if (body != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                connection.getOutputStream().write(TEXT.bytes(body));
            }
            return connection.getResponseCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** One request as a target has read it. */
    record Request(String method, String path, Map<String, String> headers, int bodyBytes, long bodySum, int number) {
        String id() {
            return headers.getOrDefault("x-request-id", "");
        }
    }

    /** A target: one thread a connection, with slots, heartbeats and a health path. A behaviour writes the answers. */
    static final class Target implements AutoCloseable {
        interface Behaviour {
            void answer(Target target, Request request, OutputStream out) throws Exception;
        }

        final String id;
        final String service;
        final int slots;
        final int port;
        final AtomicInteger running = new AtomicInteger();
        final List<String> ran = Collections.synchronizedList(new ArrayList<>());
        final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
        final Harness harness;
        private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final Behaviour behaviour;
        private final long born = System.currentTimeMillis();
        private int sequence;
        volatile String control;

        Target(Harness harness, String id, String service, int slots, Behaviour behaviour) throws IOException {
            this.harness = harness;
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.behaviour = behaviour;
            port = server.getLocalPort();
            daemon(this::accept);
            daemon(this::beat);
        }

        @Override
        public void close() {
            try {
                server.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        int runs(String requestId) {
            AtomicInteger count = runsById.get(requestId);
            return count == null ? 0 : count.get();
        }

        private void beat() {
            while (!server.isClosed()) {
                if (control != null) {
                    status("PUT", "http://" + control + "/v1/targets/" + id, """
                        {"service":"%s","address":"127.0.0.1:%d","zone":"bkk-a","version":"v1","slots":%d,"state":"ready","coldLeft":"0ms","seqNo":%d,"born":%d}"""
                        .formatted(service, port, slots, ++sequence, born));
                }
                sleep(1_500);
            }
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                OutputStream out = socket.getOutputStream();
                for (int number = 0; ; number++) {
                    Request request = readRequest(in, number);
                    if (request == null) return;
                    if (request.path().equals("/health")) {
                        out.write(TEXT.bytes("HTTP/1.1 200 OK\r\nX-Target-Id: " + id + "\r\nX-Target-Load: " + running.get() + ",0," + slots
                            + ",100\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    String expected = request.headers().get("x-target-instance");
                    if (expected != null && !expected.equals(id)) {
                        out.write(TEXT.bytes("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + request.id()
                            + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    running.incrementAndGet();
                    ran.add(request.id());
                    runsById.computeIfAbsent(request.id(), key -> new AtomicInteger()).incrementAndGet();
                    harness.recorder.line("target " + id + " runs " + request.id() + " (" + request.method() + " " + request.path() + ", "
                        + request.bodyBytes() + " bytes)");
                    try {
                        behaviour.answer(this, request, out);
                    } finally {
                        running.decrementAndGet();
                    }
                }
            } catch (Exception e) {
                // The connection ends with this thread.
            }
        }

        void write(Request request, OutputStream out, int status, String text) throws IOException {
            byte[] answer = answer(request.id(), status, text);
            harness.recorder.line("target " + id + " answers " + request.id() + ": " + status);
            out.write(answer);
            out.flush();
        }

        static byte[] answer(String requestId, int status, String text) {
            String phrase = status == 200 ? "OK" : status == 500 ? "Internal Server Error" : "Service Unavailable";
            return TEXT.bytes("HTTP/1.1 " + status + " " + phrase + "\r\nX-Request-Id: " + requestId + "\r\nX-Response-Seal: s-" + requestId
                + "-" + status + "\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        }

        private static Request readRequest(InputStream in, int number) throws IOException {
            String first = readLine(in);
            if (first == null) return null;
            String[] words = first.split(" ");
            Map<String, String> headers = new HashMap<>();
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] buffer = new byte[1 << 16];
            long sum = 0;
            for (int left = length; left > 0; ) {
                int count = in.read(buffer, 0, Math.min(left, buffer.length));
                if (count < 0) return null;
                for (int i = 0; i < count; i++) sum += buffer[i];
                left -= count;
            }
            return new Request(words[0], words[1], headers, length, sum, number);
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) return line.length() == 0 ? null : line.toString();
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }

    /** The answer to a request. Status 0 stands for a connection that was closed or was silent. */
    record Answer(int status, Map<String, String> headers, String body, boolean isComplete) {
        String seal() {
            return headers.get("x-response-seal");
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + body + ")" : status + (isComplete ? "" : ", incomplete") + ", seal " + seal() + ", reason "
                + headers.get("lycheehill-reason") + ", " + body.length() + " bytes";
        }
    }

    /** A client on one connection to the outbound address of a node. */
    static final class Client implements AutoCloseable {
        private final Harness harness;
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(Harness harness, Node node, int timeoutMs) throws IOException {
            this.harness = harness;
            socket.connect(new InetSocketAddress("127.0.0.1", node.outbound()), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Answer call(String method, String path, String id, int deadlineMs, byte[] body) {
            try {
                harness.recorder.line("client sends " + id + " (" + method + " " + path + ", " + body.length + " bytes)");
                OutputStream out = socket.getOutputStream();
                out.write(TEXT.bytes(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Remaining: " + deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
                out.flush();
                return record(id, read());
            } catch (IOException e) {
                return record(id, new Answer(0, Map.of(), e.toString(), false));
            }
        }

        private Answer record(String id, Answer answer) {
            harness.recorder.line("client gets for " + id + ": " + answer);
            return answer;
        }

        private Answer read() throws IOException {
            String first = readLine(in);
            if (first == null) return new Answer(0, Map.of(), "connection closed", false);
            int status = Integer.parseInt(first.split(" ")[1]);
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            return new Answer(status, headers, new String(body, StandardCharsets.ISO_8859_1), body.length == length);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The platform's store: keyed topics with the calls that nodes use. */
    static final class Store implements AutoCloseable {
        private final Object lock = new Object();
        private final Map<String, List<byte[]>> topics = new HashMap<>();
        private final HttpServer server;

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/v1/log-append", this::append);
            server.createContext("/v1/log-newest", this::newest);
            server.createContext("/v1/log-read", this::read);
            server.start();
        }

        int port() {
            return server.getAddress().getPort();
        }

        /** Writes a configuration as the operator does. */
        void configure(long version, String routes, String... services) throws IOException {
            StringBuilder list = new StringBuilder();
            for (String service : services) {
                list.append(list.length() == 0 ? "" : ",").append("{\"name\":\"").append(service)
                    .append("\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}");
            }
            put("keyed.op", "config", TEXT.bytes("{\"version\":" + version + ",\"services\":[" + list
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
                + "\"virtualHosts\":[{\"host\":\"" + HOST + "\",\"paths\":[" + routes + "]}]}"));
        }

        static String route(String name, String prefix, String kind, String service, int timeoutMs, int aimMs, int attempts) {
            return """
                {"name":"%s","pathPrefix":"%s","kind":"%s","timeout":"%dms","aim":"%dms","priority":1,"service":"%s","maxAttempts":%d}"""
                .formatted(name, prefix, kind, timeoutMs, aimMs, service, attempts);
        }

        private void put(String topic, String key, byte[] value) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(1 + key.length() + value.length);
            out.writeByte(key.length());
            out.write(TEXT.bytes(key));
            out.write(value);
            synchronized (lock) {
                topics.computeIfAbsent(topic, name -> new ArrayList<>()).add(bytes.toByteArray());
                lock.notifyAll();
            }
        }

        private void append(HttpExchange exchange) throws IOException {
            byte[] record = exchange.getRequestBody().readAllBytes();
            int end;
            synchronized (lock) {
                List<byte[]> records = topics.computeIfAbsent(query(exchange).get("topic"), name -> new ArrayList<>());
                records.add(record);
                end = records.size();
                lock.notifyAll();
            }
            respond(exchange, TEXT.bytes("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}"));
        }

        private void newest(HttpExchange exchange) throws IOException {
            Map<String, String> items = new LinkedHashMap<>();
            int end;
            synchronized (lock) {
                List<byte[]> records = topics.getOrDefault(query(exchange).get("topic"), List.of());
                end = records.size();
                for (int offset = 0; offset < end; offset++) {
                    byte[] record = records.get(offset);
                    int keyBytes = record[4] & 0xff;
                    String key = new String(record, 5, keyBytes, StandardCharsets.ISO_8859_1);
                    byte[] value = java.util.Arrays.copyOfRange(record, 5 + keyBytes, record.length);
                    items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"offset\":"
                        + offset + "}");
                }
            }
            respond(exchange, TEXT.bytes("{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"end\":" + end + "}"));
        }

        private void read(HttpExchange exchange) throws IOException {
            Map<String, String> query = query(exchange);
            int from = Integer.parseInt(query.get("from"));
            long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            synchronized (lock) {
                while (topics.getOrDefault(query.get("topic"), List.of()).size() <= from && System.currentTimeMillis() < end) {
                    try {
                        lock.wait(Math.max(1, end - System.currentTimeMillis()));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                List<byte[]> records = topics.getOrDefault(query.get("topic"), List.of());
                body.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
                for (int offset = from; offset < records.size(); offset++) body.write(records.get(offset));
            }
            respond(exchange, body.toByteArray());
        }

        private static void respond(HttpExchange exchange, byte[] body) throws IOException {
            sleep(4);
            exchange.getResponseHeaders().add("Store-Era", "1");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        }

        private static Map<String, String> query(HttpExchange exchange) {
            Map<String, String> values = new HashMap<>();
            for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
                int equals = pair.indexOf('=');
                values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            return values;
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
