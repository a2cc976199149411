import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two targets, the only one of its service, sends, behind 2 in 100 of its complete answers, the first bytes of the same answer once more. Some requests fail at the
 * targets with their own 500. The client of such a request must not get a success.
 */
final class CutAnswer {
    private static final int CLIENTS = 4;
    private static final int RUN_MS = 10_000;
    // Every 50th answer: x = 0.02.
    private static final int GARBLED_EVERY = 50;
    // The extra answer breaks off within its status line, which has 17 bytes.
    private static final int LONGEST_CUT = 17;
    // Every fourth request fails at its target.
    private static final int FAILS_EVERY = 4;
    private static final AtomicBoolean isOver = new AtomicBoolean();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answers = new AtomicInteger();
    private static final AtomicInteger garbled = new AtomicInteger();
    private static final AtomicInteger failed = new AtomicInteger();
    private static final AtomicInteger broken = new AtomicInteger();

    public static void main(String[] args) {
        Harness.run(args, CutAnswer::check);
    }

    private static boolean check(Harness harness) throws Exception {
        Harness.Target first = harness.newTarget("i-1", "huvo11a", 9, (server, request, out) -> answer(harness, server, request, out, false));
        Harness.Target second = harness.newTarget("i-2", "lovo22d", 9,
            (server, request, out) -> answer(harness, server, request, out, harness.trouble));
        harness.store.configure(7, Harness.Store.route("r-write", "/puka111/", "non_idempotent", "lovo22d", 1_500, 800, 2), "huvo11a",
            "lovo22d");
        Harness.Node node = harness.newNode("sidecar-bkk-a-1", "bkk-a", first);
        Harness.Node other = harness.newNode("sidecar-bkk-a-2", "bkk-a", second);
        node.awaitReady();
        other.awaitReady();
        Harness.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            threads.add(Harness.daemon(() -> converse(harness, node, name)));
        }
        Harness.sleep(RUN_MS);
        isOver.set(true);
        for (Thread thread : threads) thread.join(5_000);
        harness.recorder.line(sent + " requests sent; " + garbled + " of " + answers + " answers of the faulty target garbled; " + broken + " of "
            + failed + " requests that failed at a target were answered with a success");
        return broken.get() > 0;
    }

    private static void answer(Harness harness, Harness.Target server, Harness.Request request, java.io.OutputStream out, boolean isFaulty)
        throws Exception {
        Harness.sleep(2);
        boolean fails = request.path().endsWith("/fail");
        if (fails) failed.incrementAndGet();
        byte[] answer = Harness.Target.answer(request.id(), fails ? 500 : 200, (fails ? "failed " : "done ") + request.id());
        int number = server.id.equals("i-2") ? answers.incrementAndGet() : 0;
        int extra = isFaulty && number % GARBLED_EVERY == 0 ? 1 + garbled.getAndIncrement() % LONGEST_CUT : 0;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(answer);
        bytes.write(answer, 0, extra);
        harness.recorder.line("target " + server.id + " answers " + request.id() + ": " + (fails ? 500 : 200)
            + (extra > 0 ? ", and behind it the first " + extra + " bytes of that answer" : ""));
        out.write(bytes.toByteArray());
        out.flush();
    }

    private static void converse(Harness harness, Harness.Node node, String name) {
        for (int number = 0; !isOver.get(); number++) {
            String id = name + "-" + number;
            boolean fails = number % FAILS_EVERY == 0;
            sent.incrementAndGet();
            try (Harness.Client client = new Harness.Client(harness, node, 3_000)) {
                Harness.Answer answer = client.call("POST", fails ? "/puka111/fail" : "/puka111/ok", id, 1_500, new byte[0]);
                if (!fails || answer.status() / 100 != 2) continue;
                broken.incrementAndGet();
                harness.recorder.line("BROKEN: " + id + " failed at its target with 500, and its client got " + answer);
            } catch (java.io.IOException e) {
                harness.recorder.line(id + " cannot connect: " + e);
            }
        }
    }
}
