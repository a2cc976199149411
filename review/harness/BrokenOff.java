import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The target of one service breaks off some of its large answers. Clients send idempotent requests ahead on kept connections, by
 * turns one to this service and three to another. A request that a sound target has run must not lose its answer because the answer
 * before it on the same connection was broken off.
 */
final class BrokenOff {
    private static final int CLIENTS = 8;
    private static final int DEPTH = 4;
    private static final int ANSWER_BYTES = 300_000;
    private static final double SHARE_OF_ANSWERS = 0.02;
    private static final int READ_BYTES_PER_S = 4_000_000;
    private static final int TIMEOUT_MS = 2_500;
    private static final int DEADLINE_MS = 3_000;
    private static final AtomicBoolean isOver = new AtomicBoolean();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger closed = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();

    public static void main(String[] args) {
        Harness.run(args, BrokenOff::check);
    }

    private static boolean check(Harness harness) throws Exception {
        String body = "x".repeat(ANSWER_BYTES);
        Harness.Target.Behaviour sound = (server, request, out) -> {
            Harness.sleep(50);
            server.write(request, out, 200, "done " + request.id());
        };
        Random random = new Random(35);
        Harness.Target.Behaviour faulty = (server, request, out) -> {
            Harness.sleep(30);
            boolean isBrokenOff;
            synchronized (random) {
                isBrokenOff = harness.trouble && random.nextDouble() < SHARE_OF_ANSWERS;
            }
            if (!isBrokenOff) {
                server.write(request, out, 200, body);
                return;
            }
            harness.recorder.line("target " + server.id + " breaks off its answer to " + request.id());
            byte[] answer = Harness.Target.answer(request.id(), 200, body);
            out.write(answer, 0, answer.length - 10_000);
            throw new IOException("broken off");
        };
        Harness.Target first = harness.newTarget("i-1", "huvo11a", 18, sound);
        Harness.Target second = harness.newTarget("i-2", "lovo22d", 18, faulty);
        Harness.Target third = harness.newTarget("i-3", "wuno96b", 18, sound);
        harness.store.configure(7,
            Harness.Store.route("r-large", "/leny950/", "idempotent", "lovo22d", TIMEOUT_MS, 2_000, 2) + ","
                + Harness.Store.route("r-small", "/puka111/", "idempotent", "wuno96b", TIMEOUT_MS, 2_000, 2),
            "huvo11a", "lovo22d", "wuno96b");
        Harness.Node node = harness.newNode("sidecar-bkk-a-1", "bkk-a", first);
        Harness.Node[] others = {harness.newNode("sidecar-bkk-a-2", "bkk-a", second), harness.newNode("sidecar-bkk-a-3", "bkk-a", third)};
        node.awaitReady();
        for (Harness.Node other : others) other.awaitReady();
        Harness.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            threads.add(Harness.daemon(() -> converse(harness, node, third, name)));
        }
        Harness.sleep(15_000);
        isOver.set(true);
        for (Thread thread : threads) thread.join(6_000);
        harness.recorder.line(sent + " requests sent, " + answered + " answered, " + closed + " connections closed; " + lost
            + " requests ran at the sound target i-3 and got no answer");
        return lost.get() > 3;
    }

    private static void converse(Harness harness, Harness.Node node, Harness.Target sound, String name) {
        for (int round = 0; !isOver.get(); round++) {
            Deque<String> waiting = new ArrayDeque<>();
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(64 * 1024);
                socket.connect(new InetSocketAddress("127.0.0.1", node.outbound()), 1_000);
                socket.setSoTimeout(DEADLINE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16_384);
                for (int number = 0; !isOver.get() || !waiting.isEmpty(); ) {
                    while (waiting.size() < DEPTH && !isOver.get()) {
                        String id = name + "-" + round + "-" + number++;
                        waiting.add(id);
                        sent.incrementAndGet();
                        harness.recorder.line("client sends " + id);
                        String path = number % DEPTH == 1 ? "/leny950/1" : "/puka111/1";
                        socket.getOutputStream().write(Harness.TEXT.bytes("GET " + path + " HTTP/1.1\r\nHost: " + Harness.HOST
                            + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\n\r\n"));
                    }
                    read(harness, in, waiting);
                }
            } catch (IOException e) {
                closed.incrementAndGet();
                harness.recorder.line("client " + name + ": " + e.getMessage() + "; waiting for " + waiting);
                // The answer to the first one was broken off by its target.
                waiting.poll();
                for (String id : waiting) {
                    if (sound.runs(id) == 0) continue;
                    lost.incrementAndGet();
                    harness.recorder.line("BROKEN: " + id + " ran at the sound target and got no answer");
                }
            }
        }
    }

    private static void read(Harness harness, InputStream in, Deque<String> waiting) throws IOException {
        String status = Harness.readLine(in);
        if (status == null) throw new IOException("connection closed");
        int length = 0;
        String id = "";
        for (String line = Harness.readLine(in); line != null && !line.isEmpty(); line = Harness.readLine(in)) {
            String lower = line.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
            if (lower.startsWith("x-request-id:")) id = line.substring(13).trim();
        }
        byte[] part = new byte[16_384];
        long start = System.nanoTime();
        for (int done = 0; done < length; ) {
            int count = in.read(part, 0, Math.min(length - done, part.length));
            if (count < 0) throw new IOException("connection closed within an answer");
            done += count;
            long aheadMs = done * 1_000L / READ_BYTES_PER_S - (System.nanoTime() - start) / 1_000_000;
            if (aheadMs > 0) Harness.sleep(aheadMs);
        }
        String expected = waiting.poll();
        if (!id.equals(expected)) throw new IllegalStateException("the answer to " + id + " came for " + expected);
        answered.incrementAndGet();
        harness.recorder.line("client gets for " + id + ": " + status + ", " + length + " bytes");
    }
}
