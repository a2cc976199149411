import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send idempotent requests on kept connections before the earlier ones are answered, as some clients of the platform do. The
 * machine that takes their requests gets SIGTERM. Each request that ran must get its complete answer, unless it was sent behind
 * an answer that closes the connection.
 */
final class LastAnswers {
    private static final int CLIENTS = 12;
    private static final int DEPTH = 4;
    private static final int ANSWER_BYTES = 30_000;
    private static final int WINDOW_BYTES = 8 * 1024;
    private static final int READ_BYTES_PER_S = 2_000_000;
    private static final int TIMEOUT_MS = 1_500;
    private static final int DEADLINE_MS = 2_500;
    private static final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private static final Set<String> complete = ConcurrentHashMap.newKeySet();
    private static final Set<String> notRead = ConcurrentHashMap.newKeySet();
    private static final Map<String, String> ends = new ConcurrentHashMap<>();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicBoolean isOver = new AtomicBoolean();

    public static void main(String[] args) {
        Harness.run(args, LastAnswers::check);
    }

    private static boolean check(Harness harness) throws Exception {
        String body = "x".repeat(ANSWER_BYTES);
        Harness.Target.Behaviour behaviour = (server, request, out) -> {
            Harness.sleep(40);
            server.write(request, out, 200, body);
        };
        Harness.Target first = harness.newTarget("i-1", "huvo11a", 18, behaviour);
        Harness.Target second = harness.newTarget("i-2", "lovo22d", 18, behaviour);
        harness.store.configure(7, Harness.Store.route("r-read", "/leny950/", "idempotent", "lovo22d", TIMEOUT_MS, 800, 2), "huvo11a",
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
            threads.add(Harness.daemon(() -> converse(harness, node, name)));
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
        for (Thread thread : threads) thread.join(5_000);
        int broken = 0;
        for (String id : sentAt.keySet()) {
            if (complete.contains(id) || notRead.contains(id) || second.runs(id) == 0) continue;
            broken++;
            harness.recorder.line("BROKEN: " + id + " ran at the target and got no complete answer: " + ends.get(id));
        }
        harness.recorder.line(sentAt.size() + " requests sent, " + answered + " answered completely, " + broken
            + " ran and ended without a complete answer");
        return broken > 0;
    }

    private static void converse(Harness harness, Harness.Node node, String name) {
        for (int round = 0; !isOver.get(); round++) {
            ConcurrentLinkedQueue<String> waiting = new ConcurrentLinkedQueue<>();
            AtomicBoolean isClosing = new AtomicBoolean();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(WINDOW_BYTES);
                socket.connect(new InetSocketAddress("127.0.0.1", node.outbound()), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(DEADLINE_MS + 500);
                Semaphore places = new Semaphore(DEPTH);
                String prefix = name + "-" + round + "-";
                Thread sender = Harness.daemon(() -> send(harness, socket, prefix, waiting, places, isClosing));
                try {
                    receive(harness, socket, waiting, places, isClosing);
                } finally {
                    // A sound client sends nothing more on this connection; what it sent behind a closing answer counts as not read.
                    boolean closedByAnswer = isClosing.getAndSet(true);
                    sender.interrupt();
                    sender.join(1_000);
                    if (closedByAnswer) notRead.addAll(waiting);
                }
            } catch (IOException | InterruptedException e) {
                long now = System.nanoTime();
                for (String id : waiting) {
                    ends.put(id, e + " after " + (now - sentAt.get(id)) / 1_000_000 + " ms");
                    harness.recorder.line("client gets for " + id + ": " + ends.get(id));
                }
                Harness.sleep(100);
            }
            if (harness.trouble && !node.isAlive()) return;
        }
    }

    private static void send(Harness harness, Socket socket, String prefix, ConcurrentLinkedQueue<String> waiting, Semaphore places,
        AtomicBoolean isClosing) {
        try {
            OutputStream out = socket.getOutputStream();
            for (int number = 0; !isOver.get(); number++) {
                places.acquire();
                if (isClosing.get()) return;
                String id = prefix + number;
                sentAt.put(id, System.nanoTime());
                waiting.add(id);
                harness.recorder.line("client sends " + id);
                out.write(Harness.TEXT.bytes("GET /leny950/1 HTTP/1.1\r\nHost: " + Harness.HOST + "\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\n\r\n"));
                Thread.sleep(15);
            }
        } catch (IOException | InterruptedException e) {
            // The receiving thread reports the end of the connection.
        }
    }

    private static void receive(Harness harness, Socket socket, ConcurrentLinkedQueue<String> waiting, Semaphore places,
        AtomicBoolean isClosing) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 4_096);
        while (true) {
            String first = Harness.readLine(in);
            if (first == null) {
                if (isOver.get() && waiting.isEmpty()) return;
                throw new IOException("connection closed");
            }
            Map<String, String> headers = new HashMap<>();
            for (String line = Harness.readLine(in); line != null && !line.isEmpty(); line = Harness.readLine(in)) {
                headers.put(line.substring(0, line.indexOf(':')).toLowerCase(), line.substring(line.indexOf(':') + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] part = new byte[4_096];
            for (int left = length; left > 0; ) {
                int count = in.read(part, 0, Math.min(left, part.length));
                if (count < 0) throw new IOException("connection closed within an answer, " + left + " of " + length + " bytes missing");
                left -= count;
                if (left % 16_384 < part.length) Harness.sleep(16_384 * 1_000L / READ_BYTES_PER_S);
            }
            String id = waiting.poll();
            if (!headers.get("x-request-id").equals(id)) throw new IllegalStateException("the answer to " + headers + " came for " + id);
            boolean closes = "close".equalsIgnoreCase(headers.get("connection"));
            if (closes) isClosing.set(true);
            complete.add(id);
            answered.incrementAndGet();
            harness.recorder.line("client gets for " + id + ": " + first + ", " + length + " bytes" + (closes ? ", Connection: close" : ""));
            places.release();
            if (closes || isOver.get() && waiting.isEmpty()) return;
        }
    }
}
