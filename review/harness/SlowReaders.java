import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send groups of idempotent requests on a kept connection, then send nothing more until they have read all answers, at the pace
 * of their line. The machine that takes their requests gets SIGTERM. Each request that ran must get its complete answer.
 */
final class SlowReaders {
    private static final int CLIENTS = 6;
    private static final int GROUP = 24;
    private static final int ANSWER_BYTES = 250_000;
    private static final int WINDOW_BYTES = 8 * 1024;
    private static final int READ_BYTES_PER_S = 4_000_000;
    private static final int TIMEOUT_MS = 2_500;
    private static final int DEADLINE_MS = 3_000;
    private static final AtomicBoolean isOver = new AtomicBoolean();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger broken = new AtomicInteger();

    public static void main(String[] args) {
        Harness.run(args, SlowReaders::check);
    }

    private static boolean check(Harness harness) throws Exception {
        String body = "x".repeat(ANSWER_BYTES);
        Harness.Target.Behaviour behaviour = (server, request, out) -> {
            Harness.sleep(20);
            server.write(request, out, 200, body);
        };
        Harness.Target first = harness.newTarget("i-1", "huvo11a", 18, behaviour);
        Harness.Target second = harness.newTarget("i-2", "lovo22d", 18, behaviour);
        harness.store.configure(7, Harness.Store.route("r-read", "/leny950/", "idempotent", "lovo22d", TIMEOUT_MS, 2_000, 2), "huvo11a",
            "lovo22d");
        Harness.Node node = harness.newNode("sidecar-bkk-a-1", "bkk-a", first);
        Harness.Node other = harness.newNode("sidecar-bkk-a-2", "bkk-a", second);
        node.awaitReady();
        other.awaitReady();
        Harness.await("a first request is served", 20_000, () -> {
            try (Harness.Client client = new Harness.Client(harness, node, DEADLINE_MS)) {
                return client.call("GET", "/leny950/1", "warm-" + System.nanoTime(), DEADLINE_MS, new byte[0]).status() == 200;
            }
        });
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            threads.add(Harness.daemon(() -> converse(harness, node, second, name)));
            Harness.sleep(270);
        }
        // All machines have been calm for longer than `contact` when SIGTERM comes.
        Harness.sleep(6_000);
        if (harness.trouble) {
            harness.recorder.line("SIGTERM to node " + node.id);
            node.terminate();
            node.waitForExit();
            harness.recorder.line("node " + node.id + " has ended");
        }
        Harness.sleep(1_000);
        isOver.set(true);
        for (Thread thread : threads) thread.join(6_000);
        harness.recorder.line(sent + " requests sent, " + answered + " answered completely, " + broken + " ran and ended without a complete answer");
        return broken.get() > 0;
    }

    private static void converse(Harness harness, Harness.Node node, Harness.Target target, String name) {
        for (int round = 0; !isOver.get() && node.isAlive(); round++) {
            Deque<String> waiting = new ArrayDeque<>();
            boolean isClosing = false;
            long start = System.nanoTime();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(WINDOW_BYTES);
                socket.connect(new InetSocketAddress("127.0.0.1", node.outbound()), 1_000);
                socket.setSoTimeout(DEADLINE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 4_096);
                for (int group = 0; !isOver.get() && !isClosing; group++) {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < GROUP; i++) {
                        String id = name + "-" + round + "-" + group + "-" + i;
                        waiting.add(id);
                        sent.incrementAndGet();
                        requests.append("GET /leny950/1 HTTP/1.1\r\nHost: ").append(Harness.HOST).append("\r\nX-Request-Id: ").append(id)
                            .append("\r\nX-Deadline-Remaining: ").append(DEADLINE_MS).append("\r\n\r\n");
                    }
                    start = System.nanoTime();
                    harness.recorder.line("client sends " + waiting);
                    socket.getOutputStream().write(Harness.TEXT.bytes(requests.toString()));
                    while (!waiting.isEmpty() && !isClosing) isClosing = read(harness, in, waiting);
                    Harness.sleep(100);
                }
            } catch (IOException e) {
                long ms = (System.nanoTime() - start) / 1_000_000;
                for (String id : waiting) {
                    harness.recorder.line("client gets for " + id + ": " + e.getMessage() + ", " + ms + " ms after it was sent");
                    if (target.runs(id) == 0 || ms >= TIMEOUT_MS) continue;
                    broken.incrementAndGet();
                    harness.recorder.line("BROKEN: " + id + " ran at the target and got no complete answer");
                }
                Harness.sleep(100);
            }
        }
    }

    /** Reads one answer. Returns whether it closes the connection; what was sent behind it then counts as not read. */
    private static boolean read(Harness harness, InputStream in, Deque<String> waiting) throws IOException {
        String status = Harness.readLine(in);
        if (status == null) throw new IOException("connection closed");
        int length = 0;
        boolean closes = false;
        String id = "";
        for (String line = Harness.readLine(in); line != null && !line.isEmpty(); line = Harness.readLine(in)) {
            String lower = line.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
            if (lower.startsWith("connection:")) closes = lower.contains("close");
            if (lower.startsWith("x-request-id:")) id = line.substring(13).trim();
        }
        byte[] part = new byte[4_096];
        long start = System.nanoTime();
        for (int done = 0; done < length; ) {
            int count = in.read(part, 0, Math.min(length - done, part.length));
            if (count < 0) throw new IOException("connection closed, " + (length - done) + " of " + length + " bytes of the answer to "
                + waiting.peek() + " missing");
            done += count;
            long aheadMs = done * 1_000L / READ_BYTES_PER_S - (System.nanoTime() - start) / 1_000_000;
            if (aheadMs > 0) Harness.sleep(aheadMs);
        }
        String expected = waiting.poll();
        if (!id.equals(expected)) throw new IllegalStateException("the answer to " + id + " came for " + expected);
        answered.incrementAndGet();
        harness.recorder.line("client gets for " + id + ": " + status + ", " + length + " bytes" + (closes ? ", Connection: close" : ""));
        return closes;
    }
}
