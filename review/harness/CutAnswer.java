/**
 * A target sends a complete answer and, behind it, the first bytes of the same answer once more. The next request on that connection
 * fails at the target with its own 500. The client of that request must not get a success.
 */
final class CutAnswer {
    private static final int CUTS = 48;

    public static void main(String[] args) {
        Harness.run(args, CutAnswer::check);
    }

    private static boolean check(Harness harness) throws Exception {
        Harness.Target target = harness.newTarget("i-1", "huvo11a", 9, (server, request, out) -> {
            if (request.path().startsWith("/puka111/fail")) {
                server.write(request, out, 500, "failed " + request.id());
                return;
            }
            byte[] answer = Harness.Target.answer(request.id(), 200, "done " + request.id());
            String cut = request.path().substring(request.path().lastIndexOf('/') + 1);
            int extra = harness.trouble && !cut.equals("ok") ? Integer.parseInt(cut) : 0;
            java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
            bytes.write(answer);
            bytes.write(answer, 0, extra);
            harness.recorder.line("target answers " + request.id() + ": 200, and behind it the first " + extra + " bytes of that answer");
            out.write(bytes.toByteArray());
            out.flush();
        });
        harness.store.configure(7, Harness.Store.route("r-write", "/puka111/", "non_idempotent", "huvo11a", 1_500, 800, 2), "huvo11a");
        Harness.Node node = harness.newNode("sidecar-bkk-a-1", "bkk-a", target);
        node.awaitReady();
        Harness.await("a first request is served", 20_000, () -> call(harness, node, "warm-" + System.nanoTime(), "/puka111/ok").status() == 200);
        int broken = 0;
        for (int cut = 1; cut <= CUTS; cut++) {
            call(harness, node, "a-" + cut, "/puka111/ok/" + cut);
            Harness.sleep(30);
            Harness.Answer answer = call(harness, node, "b-" + cut, "/puka111/fail");
            boolean isSuccess = answer.status() / 100 == 2;
            if (isSuccess && target.runs("b-" + cut) > 0) {
                harness.recorder.line("BROKEN: b-" + cut + " failed at the target with 500, and its client got " + answer);
                broken++;
            }
        }
        harness.recorder.line(broken + " of " + CUTS + " requests that failed at the target were answered with a success");
        return broken > 0;
    }

    private static Harness.Answer call(Harness harness, Harness.Node node, String id, String path) throws Exception {
        try (Harness.Client client = new Harness.Client(harness, node, 3_000)) {
            return client.call("POST", path, id, 1_500, new byte[0]);
        }
    }
}
