import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The same fault as in CutAnswer, with other additional bytes: the beginning of a refusal, broken off within its head. The next request on
 * that connection runs; it must not run at another target as well.
 */
final class CutRefusal {
    private static final int ROUNDS = 20;
    private static final String CUT = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1";

    public static void main(String[] args) {
        Harness.run(args, CutRefusal::check);
    }

    private static boolean check(Harness harness) throws Exception {
        Harness.Target.Behaviour behaviour = (server, request, out) -> {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(Harness.Target.answer(request.id(), 200, "done " + request.id()));
            boolean isSpoiled = harness.trouble && request.path().endsWith("/spoil");
            if (isSpoiled) bytes.write(Harness.TEXT.bytes(CUT));
            harness.recorder.line("target " + server.id + " answers " + request.id() + ": 200"
                + (isSpoiled ? ", and behind it the beginning of a refusal" : ""));
            out.write(bytes.toByteArray());
            out.flush();
        };
        Harness.Target first = harness.newTarget("i-1", "huvo11a", 9, behaviour);
        Harness.Target second = harness.newTarget("i-2", "huvo11a", 9, behaviour);
        harness.store.configure(7, Harness.Store.route("r-write", "/puka111/", "non_idempotent", "huvo11a", 1_500, 800, 2), "huvo11a");
        Harness.Node node = harness.newNode("sidecar-bkk-a-1", "bkk-a", first);
        Harness.Node other = harness.newNode("sidecar-bkk-a-2", "bkk-a", second);
        node.awaitReady();
        other.awaitReady();
        Harness.sleep(4_000);
        List<String> twice = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            call(harness, node, "a-" + round, "/puka111/spoil");
            call(harness, node, "b-" + round, "/puka111/spoil");
            for (int i = 0; i < 4; i++) call(harness, node, "c-" + round + "-" + i, "/puka111/pay");
        }
        for (String id : new ArrayList<>(first.ran)) {
            if (first.runs(id) + second.runs(id) > 1) twice.add(id);
        }
        harness.recorder.line(twice.size() + " requests that aren't idempotent ran twice: " + twice);
        return !twice.isEmpty();
    }

    private static void call(Harness harness, Harness.Node node, String id, String path) throws Exception {
        try (Harness.Client client = new Harness.Client(harness, node, 3_000)) {
            client.call("POST", path, id, 1_500, new byte[0]);
        }
    }
}
