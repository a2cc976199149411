import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients upload bodies far below the operator's `maxBodyBytes`, each at the pace of a slow line. Others send small requests over
 * the same node. Many uploading users come at once. The small requests must get their final answers within their route's timeout.
 */
final class Uploads {
    private static final int BODY_BYTES = 6 * 1024 * 1024;
    private static final int BYTES_PER_S = 5 * 1024 * 1024;
    private static final int UPLOADERS = 9;
    private static final double BURST = 1.7;
    private static final int BURST_MS = 3_000;
    private static final int SMALL_CLIENTS = 16;
    private static final int TIMEOUT_MS = 1_500;
    private static final int DEADLINE_MS = 3_000;
    private static final AtomicBoolean isOver = new AtomicBoolean();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger lasting = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger uploads = new AtomicInteger();
    private static final AtomicInteger uploadsServed = new AtomicInteger();

    public static void main(String[] args) {
        Harness.run(args, Uploads::check);
    }

    private static boolean check(Harness harness) throws Exception {
        Harness.Target.Behaviour behaviour = (server, request, out) -> {
            Harness.sleep(request.bodyBytes() > 0 ? 250 : 50);
            server.write(request, out, 200, "done " + request.id());
        };
        Harness.Target first = harness.newTarget("i-1", "huvo11a", 18, behaviour);
        Harness.Target second = harness.newTarget("i-2", "lovo22d", 18, behaviour);
        harness.store.configure(7,
            Harness.Store.route("r-upload", "/puka111/", "non_idempotent", "lovo22d", TIMEOUT_MS, 800, 2) + ","
                + Harness.Store.route("r-small", "/leny950/", "non_idempotent", "lovo22d", TIMEOUT_MS, 800, 2),
            "huvo11a", "lovo22d");
        Harness.Node node = harness.newNode("sidecar-bkk-a-1", "bkk-a", first);
        Harness.Node other = harness.newNode("sidecar-bkk-a-2", "bkk-a", second);
        node.awaitReady();
        other.awaitReady();
        Harness.await("a first request is served", 20_000, () -> {
            try (Harness.Client client = new Harness.Client(harness, node, DEADLINE_MS)) {
                return client.call("POST", "/leny950/1", "warm-" + System.nanoTime(), DEADLINE_MS, new byte[0]).status() == 200;
            }
        });
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            String name = "small-" + i;
            threads.add(Harness.daemon(() -> sendSmall(harness, node, name)));
        }
        for (int i = 0; i < UPLOADERS; i++) {
            String name = "upload-" + i;
            threads.add(Harness.daemon(() -> upload(harness, node, name, Long.MAX_VALUE)));
            Harness.sleep(230);
        }
        Harness.sleep(6_000);
        harness.recorder.line("before the burst: " + sent + " small requests, " + late + " late; " + uploads + " uploads, " + uploadsServed
            + " served");
        if (harness.trouble) {
            long end = System.nanoTime() + BURST_MS * 1_000_000L;
            int more = (int) (UPLOADERS * BURST) - UPLOADERS;
            harness.recorder.line("burst: " + more + " more uploading clients for " + BURST_MS + " ms");
            for (int i = 0; i < more; i++) {
                String name = "burst-" + i;
                threads.add(Harness.daemon(() -> upload(harness, node, name, end)));
                Harness.sleep(50);
            }
        }
        Harness.sleep(BURST_MS + 4_000);
        isOver.set(true);
        for (Thread thread : threads) thread.join(10_000);
        harness.recorder.line("processes alive: " + node.isAlive() + " " + other.isAlive() + ", ready: " + node.isReady() + " " + other.isReady());
        harness.recorder.line("in all: " + uploads + " uploads, " + uploadsServed + " served; " + sent + " small requests, of which " + lasting
            + " lasted longer than their timeout, " + late + " had no final answer " + (TIMEOUT_MS + 500) + " ms after they were sent, and " + unanswered + " had none " + DEADLINE_MS
            + " ms after");
        // The rule: eight or more, and over a quarter of those that last longer than the timeout.
        return late.get() >= 8 && 4 * late.get() > lasting.get();
    }

    private static void sendSmall(Harness harness, Harness.Node node, String name) {
        for (int number = 0; !isOver.get(); ) {
            try (Harness.Client client = new Harness.Client(harness, node, DEADLINE_MS)) {
                while (!isOver.get()) {
                    Harness.sleep(150);
                    String id = name + "-" + number++;
                    sent.incrementAndGet();
                    long start = System.nanoTime();
                    Harness.Answer answer = client.call("POST", "/leny950/1", id, DEADLINE_MS, new byte[0]);
                    long ms = (System.nanoTime() - start) / 1_000_000;
                    if (ms > TIMEOUT_MS) lasting.incrementAndGet();
                    if (ms > TIMEOUT_MS + 500) {
                        late.incrementAndGet();
                        harness.recorder.line("LATE: " + id + " had no final answer for " + ms + " ms");
                    }
                    if (answer.status() == 0 && ms >= DEADLINE_MS - 50) unanswered.incrementAndGet();
                    if (answer.status() == 0) break;
                }
            } catch (IOException e) {
                harness.recorder.line(name + " cannot connect: " + e);
                Harness.sleep(100);
            }
        }
    }

    private static void upload(Harness harness, Harness.Node node, String name, long endNanos) {
        for (int number = 0; !isOver.get() && System.nanoTime() < endNanos; number++) {
            String id = name + "-" + number;
            uploads.incrementAndGet();
            harness.recorder.line("client uploads " + id + " (" + BODY_BYTES + " bytes)");
            String result;
            try (Socket socket = new Socket("127.0.0.1", node.outbound())) {
                // A client that gets no answer leaves when its time is up.
                socket.setSoTimeout(DEADLINE_MS);
                result = uploadBody(socket, id);
            } catch (IOException e) {
                result = "no answer (" + e + ")";
            }
            if (result.startsWith("HTTP/1.1 200")) uploadsServed.incrementAndGet();
            harness.recorder.line("client gets for " + id + ": " + result);
            Harness.sleep(100);
        }
    }

    private static String uploadBody(Socket socket, String id) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(Harness.TEXT.bytes("POST /puka111/1 HTTP/1.1\r\nHost: " + Harness.HOST + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"));
        byte[] part = new byte[BYTES_PER_S / 50];
        long start = System.nanoTime();
        for (int done = 0; done < BODY_BYTES; ) {
            int count = Math.min(part.length, BODY_BYTES - done);
            out.write(part, 0, count);
            done += count;
            long aheadMs = done * 1_000L / BYTES_PER_S - (System.nanoTime() - start) / 1_000_000;
            if (aheadMs > 0) Harness.sleep(aheadMs);
            if (System.nanoTime() - start > DEADLINE_MS * 1_000_000L) return "no answer (gave up at the deadline)";
        }
        String line = Harness.readLine(socket.getInputStream());
        return line == null ? "no answer (connection closed)" : line;
    }
}
