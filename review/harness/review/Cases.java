package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The cases. Each returns whether its rule held. */
final class Cases {
    private Cases() {}

    static Main.Case byName(String name) {
        return switch (name) {
            case "carried-groups" -> Cases::carriedGroups;
            case "broken-stream" -> Cases::brokenStream;
            case "press" -> Cases::press;
            case "large-step" -> Cases::largeStep;
            case "item-422" -> Cases::item422;
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }

    /** The work of a worker of the plain service. */
    private static void judge(Worker worker, MiniServer.Exchange request) throws Exception {
        if (request.pause(25)) {
            worker.answer(request, 200, "judged");
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void sleepUntil(long start, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - millisSince(start)));
    }

    /** Results of a submission as a trainer reads them. */
    private static final class Reader {
        final Map<String, JsonNode> results = new TreeMap<>();
        private final RunLog mRecord;
        private final String mLot;
        private int mNext;

        Reader(RunLog record, String lot) {
            mRecord = record;
            mLot = lot;
        }

        /** Reads the results that there are; waits for the first one if there is none. */
        void read(int port, long waitMillis) throws IOException {
            long wait = waitMillis;
            while (true) {
                Map<String, String> fields = Site.fields("read-" + mLot + "-" + mNext, 0);
                if (wait > 0) {
                    fields.put("Wait-Ms", Long.toString(wait));
                }
                Client.Answer page =
                        Client.once(port, 5_000, "GET", "/api/lots/" + mLot + "?after=" + mNext,
                                fields, new byte[0]);
                wait = 0;
                if (page.status() != 200 || !page.complete()) {
                    mRecord.line("read of " + mLot + ": " + page.status() + " " + page.end());
                    return;
                }
                JsonNode list = Store.MAPPER.readTree(page.body()).path("results");
                for (JsonNode result : list) {
                    mRecord.line(mLot + " position " + mNext + ": " + result.path("id").asText()
                            + " " + result.path("state").asText() + ", "
                            + result.path("message").asText().length() + " characters");
                    results.put(result.path("id").asText(), result);
                    mNext++;
                }
                if (list.isEmpty()) {
                    return;
                }
            }
        }

        boolean hasGroup(String group) {
            for (int i = 0; i < 4; i++) {
                if (!results.containsKey(group + "-" + i)) {
                    return false;
                }
            }
            return true;
        }
    }

    // ---- 1: groups that come back -----------------------------------------------------------

    private static final int STEP_GROUPS = 36;

    /** Half of the groups that the trainer waits for. */
    private static final int CARRIED_GROUPS = 18;

    /** The workers flush their output each 40 ms, five events at a time. */
    private static final int FLUSH_MILLIS = 40;

    private static final int FLUSH_EVENTS = 5;

    /** The most that the sheet gives; a text takes 1.4 s. */
    private static final int EVENTS = 176;

    /** The time limit of the trainer; nearly all of its texts are being made then. */
    private static final long LIMIT_MILLIS = 1_200;

    /** Below the number that the letter on size gives for a step. */
    private static final int OTHER_ITEMS = 3_000;

    private static String wholeText(String item) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            text.append(event > 1 ? "\n" : "").append(item + " event " + event);
        }
        return text.toString();
    }

    /**
     * A trainer ends each second step at its time limit; half of the groups come back in its next
     * step, which it waits for. Another trainer asks a large step meanwhile. Without trouble the
     * first trainer waits for all its steps, so that no group comes back.
     */
    private static boolean carriedGroups(Main.Setting s) throws Exception {
        s.store.write("op", "config",
                Site.manifest(2, Site.rollout("/pule252/"), Site.reward("/pufi791/")));
        for (int w = 0; w < 24; w++) {
            s.worker("w" + w, Site.ENGINES, Map.of(Site.MODEL, 1L),
                    (worker, request) -> {
                        String item = request.header("Request-Id");
                        // The prompts differ in the time that they take to be read.
                        request.pause(Math.floorMod(item.hashCode() * 31, 300));
                        worker.stream(request, Site.MODEL, EVENTS, FLUSH_EVENTS, FLUSH_MILLIS,
                                event -> item + " event " + event);
                    });
        }
        for (int d = 0; d < 6; d++) {
            s.worker("d" + d, Site.PLAIN, Map.of(), Cases::judge);
        }
        Instance instance = s.instance("edge-z-1");
        Thread.sleep(3_000);
        long start = System.nanoTime();
        int complete = 0;
        int wrong = 0;
        for (int step = 0; millisSince(start) < 70_000; step += 2) {
            List<String> items = new ArrayList<>();
            for (int item = 0; item < STEP_GROUPS * 4; item++) {
                items.add("group" + item / 4 + "-" + step + "-" + item % 4);
            }
            if (s.trouble) {
                String lot = "step" + step;
                long asked = System.nanoTime();
                submit(s, instance, lot, step, STEP_GROUPS, items);
                int number = step;
                Thread other = new Thread(() -> otherTrainer(s, instance, number, asked));
                other.start();
                sleepUntil(asked, LIMIT_MILLIS);
                end(s, instance, lot, asked);
                other.join();
                Thread.sleep(200);
            }
            List<String> again = items.subList(0, CARRIED_GROUPS * 4);
            String lot = "step" + (step + 1);
            long asked = System.nanoTime();
            submit(s, instance, lot, step + 1, CARRIED_GROUPS, again);
            Reader reader = new Reader(s.record, lot);
            while (reader.results.size() < again.size() && millisSince(asked) < 12_000) {
                reader.read(instance.front, 1_000);
            }
            end(s, instance, lot, asked);
            for (Map.Entry<String, JsonNode> result : reader.results.entrySet()) {
                String item = result.getKey();
                String text = result.getValue().path("message").asText();
                if (!result.getValue().path("state").asText().equals("completed")) {
                    continue;
                }
                if (text.equals(wholeText(item))) {
                    complete++;
                } else {
                    wrong++;
                    s.record.line("WRONG: " + item + " is completed with "
                            + text.split("\n").length + " of " + EVENTS
                            + " events, the first is \"" + text.split("\n")[0] + "\"");
                }
            }
        }
        s.record.line(complete + " whole texts, " + wrong + " others that are listed as completed");
        if (complete == 0) {
            throw new IOException("no text was listed");
        }
        return wrong == 0;
    }

    /** Asks a step shortly before the time limit of the first trainer and ends it soon after. */
    private static void otherTrainer(Main.Setting s, Instance at, int number, long start) {
        try {
            List<String> items = new ArrayList<>();
            for (int item = 0; item < OTHER_ITEMS; item++) {
                items.add("other" + number + "-" + item);
            }
            String lot = "other" + number;
            sleepUntil(start, LIMIT_MILLIS - 60 - number / 2 % 10 * 10);
            submit(s, at, lot, number, OTHER_ITEMS / 4, items);
            Thread.sleep(150);
            end(s, at, lot, start);
        } catch (IOException | InterruptedException e) {
            s.record.line("the other trainer: " + e);
        }
    }

    private static void submit(Main.Setting s, Instance at, String lot, int step, int target,
            List<String> items) throws IOException {
        Client.Answer accepted = Client.once(at.front, 5_000, "POST", "/pule252/" + lot,
                Site.fields(lot, 0), Site.submission(step, 1, target, items));
        s.record.line(lot + ": " + items.size() + " items, " + accepted.status());
        if (accepted.status() != 202) {
            throw new IOException("the submission was answered " + accepted.status());
        }
    }

    private static void end(Main.Setting s, Instance at, String lot, long asked) {
        Client.Answer ended = Client.once(at.front, 5_000, "DELETE", "/api/lots/" + lot,
                Site.fields("end-" + lot, 0), new byte[0]);
        s.record.line(lot + ": ended, " + ended.status() + ", after " + millisSince(asked) + " ms");
    }

    // ---- 2: a stream whose worker crashes -----------------------------------------------------

    /** Eighteen streams run at six workers, one of which crashes. */
    private static boolean brokenStream(Main.Setting s) throws Exception {
        s.store.write("op", "config", Site.manifest(2,
                Site.route("/zofa310/", "stream", Site.ENGINES, 10_000, 500, 2)
                        .put("sticky", true)));
        int events = 40;
        List<Worker> workers = new ArrayList<>();
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        for (int w = 0; w < 6; w++) {
            workers.add(s.worker("w" + w, Site.ENGINES, Map.of(Site.MODEL, 1L),
                    (worker, request) -> {
                        ranAt.put(request.header("Request-Id"), worker.id);
                        worker.stream(request, Site.MODEL, events, 1, 50, event -> "event " + event);
                    }));
        }
        Instance instance = s.instance("edge-z-1");
        Thread.sleep(1_500);
        List<Thread> requesters = new ArrayList<>();
        Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
        for (int r = 0; r < 18; r++) {
            String id = "request" + r;
            Map<String, String> fields = Site.fields(id, 8_000);
            fields.put("Model", Site.MODEL);
            Thread requester = new Thread(() -> answers.put(id, Client.once(instance.front, 9_000,
                    "POST", "/zofa310/1", fields, "prompt".getBytes())));
            requester.start();
            requesters.add(requester);
            Thread.sleep(20);
        }
        Thread.sleep(700);
        if (s.trouble) {
            Worker busiest = workers.stream().max(Comparator.comparingLong(worker ->
                    ranAt.values().stream().filter(worker.id::equals).count())).orElseThrow();
            s.record.line(busiest.id + " crashes");
            busiest.close();
        }
        for (Thread requester : requesters) {
            requester.join();
        }
        int whole = 0;
        int wrong = 0;
        for (Map.Entry<String, Client.Answer> one : new TreeMap<>(answers).entrySet()) {
            Client.Answer answer = one.getValue();
            int got = answer.text().split("data: ", -1).length - 1;
            s.record.line(one.getKey() + " at " + ranAt.get(one.getKey()) + ": " + answer.status()
                    + ", " + got + " of " + events + " events, " + answer.end() + ", "
                    + answer.headers());
            whole += got == events && answer.complete() ? 1 : 0;
            wrong += answer.status() == 200 && got < events && answer.complete() ? 1 : 0;
        }
        s.record.line(whole + " whole streams, " + wrong + " that end early and look complete");
        if (whole == 0) {
            throw new IOException("no stream was served");
        }
        return wrong == 0;
    }

    // ---- 3: requesters press ------------------------------------------------------------------

    private static final int PRESS_REQUESTS = 400;
    private static final int PRESS_BODY_BYTES = 400_000;
    private static final int PRESS_MILLIS = 4_000;
    private static final int PARTS = 40;

    /** Sends a body in parts, as over a slow link; returns the first line of the answer. */
    private static String slowRequest(int port, String id, long millis) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(6_000);
            StringBuilder head = new StringBuilder("POST /lohu930/1 HTTP/1.1\r\n");
            Site.fields(id, 5_000).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + PRESS_BODY_BYTES + "\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes());
            byte[] part = new byte[PRESS_BODY_BYTES / PARTS];
            long start = System.nanoTime();
            for (int sent = 1; sent <= PARTS; sent++) {
                socket.getOutputStream().write(part);
                sleepUntil(start, millis * sent / PARTS);
            }
            String first = MiniServer.line(socket.getInputStream());
            return first == null ? "closed without an answer" : first;
        } catch (java.net.SocketTimeoutException e) {
            return "no answer in time";
        } catch (IOException e) {
            return "broken channel";
        } catch (InterruptedException e) {
            return "interrupted";
        }
    }

    /** Many requests with bodies arrive within a few seconds; without trouble eight at a time. */
    private static boolean press(Main.Setting s) throws Exception {
        long timeout = 1_000;
        s.store.write("op", "config", Site.manifest(2,
                Site.route("/lohu930/", "safe", Site.PLAIN, 5_000, 1_000, 2),
                Site.route("/quote40/", "safe", Site.PLAIN, timeout, 150, 2)));
        for (int d = 0; d < 4; d++) {
            s.worker("d" + d, Site.PLAIN, Map.of(), Cases::judge);
        }
        Instance instance = s.instance("edge-z-1");
        Thread.sleep(1_500);
        Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
        CountDownLatch left = new CountDownLatch(PRESS_REQUESTS);
        Semaphore atOnce = new Semaphore(s.trouble ? PRESS_REQUESTS : 8);
        long millis = s.trouble ? PRESS_MILLIS : 200;
        s.record.line(PRESS_REQUESTS + " requests of " + PRESS_BODY_BYTES + " bytes begin");
        for (int r = 0; r < PRESS_REQUESTS; r++) {
            String id = "press" + r;
            new Thread(() -> {
                atOnce.acquireUninterruptibly();
                String answer = slowRequest(instance.front, id, millis);
                atOnce.release();
                answers.computeIfAbsent(answer, key -> new AtomicInteger()).incrementAndGet();
                left.countDown();
            }).start();
        }
        left.await();
        s.record.line("all of them have ended or left: " + answers);
        // Longer than the 5 s of "choked" and contactMs.
        Thread.sleep(9_000);
        s.record.line("calm requests begin");
        int late = 0;
        int unanswered = 0;
        int requests = 20;
        for (int r = 0; r < requests; r++) {
            long at = System.nanoTime();
            Client.Answer answer = Client.once(instance.front, (int) timeout + 500, "POST",
                    "/quote40/1", Site.fields("calm" + r, 2_000), "quote".getBytes());
            s.record.line("calm" + r + ": " + answer.status() + " " + answer.end() + " after "
                    + millisSince(at) + " ms");
            late += millisSince(at) >= timeout ? 1 : 0;
            unanswered += answer.complete() ? 0 : 1;
            sleepUntil(at, timeout + 500);
        }
        s.record.line("of " + requests + " calm requests " + late + " had no answer at timeoutMs, "
                + unanswered + " none half a second later; process alive " + instance.isAlive()
                + ", ready " + instance.isReady());
        // One late request or two would be chance.
        return late < 3 || unanswered * 2 <= late;
    }

    // ---- 4: a step of 4,096 samples -----------------------------------------------------------

    /** A submission of a whole step; without trouble an eighth of it. */
    private static boolean largeStep(Main.Setting s) throws Exception {
        s.store.write("op", "config",
                Site.manifest(2, Site.rollout("/pule252/"), Site.reward("/pufi791/")));
        Map<String, Boolean> atWorker = new ConcurrentHashMap<>();
        for (int w = 0; w < 12; w++) {
            s.worker("w" + w, Site.ENGINES, Map.of(Site.MODEL, 1L), (worker, request) -> {
                atWorker.put(request.header("Request-Id"), true);
                worker.stream(request, Site.MODEL, 10, 1, 20, event -> "event " + event);
            });
        }
        for (int d = 0; d < 4; d++) {
            s.worker("d" + d, Site.PLAIN, Map.of(), Cases::judge);
        }
        Instance[] instances = {
            s.instance("edge-z-1"), s.instance("edge-z-2"), s.instance("edge-z-3")
        };
        Thread.sleep(4_000);
        int count = s.trouble ? 4_096 : 512;
        List<String> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add("item" + i);
        }
        byte[] body = Site.submission(0, 1, count / 4, items);
        long asked = System.nanoTime();
        Client.Answer accepted = Client.once(instances[0].front, 9_000, "POST", "/pule252/lot1",
                Site.fields("lot1", 0), body);
        s.record.line("submission of " + count + " items, " + body.length + " bytes: "
                + accepted.status() + " " + accepted.end());
        if (accepted.status() != 202) {
            throw new IOException("the submission was answered " + accepted.status());
        }
        Reader reader = new Reader(s.record, "lot1");
        for (int read = 1; read <= 16; read++) {
            sleepUntil(asked, read * 500L);
            reader.read(instances[read % 3].front, 0);
        }
        Set<String> lost = new HashSet<>();
        reader.results.forEach((item, result) -> {
            if (result.path("state").asText().equals("errored")) {
                lost.add(item);
            }
        });
        long ran = lost.stream().filter(atWorker::containsKey).count();
        s.record.line(reader.results.size() + " results after " + millisSince(asked) + " ms, "
                + lost.size() + " of them errored; " + ran + " of these had reached a worker");
        return lost.isEmpty();
    }

    // ---- 5: an item that can never be done ----------------------------------------------------

    /** The workers answer 422 to one item of a submission; without trouble they run it. */
    private static boolean item422(Main.Setting s) throws Exception {
        s.store.write("op", "config",
                Site.manifest(2, Site.rollout("/pule252/"), Site.reward("/pufi791/")));
        AtomicInteger refusals = new AtomicInteger();
        for (int w = 0; w < 3; w++) {
            s.worker("w" + w, Site.ENGINES, Map.of(Site.MODEL, 1L), (worker, request) -> {
                if (s.trouble && request.header("Request-Id").equals("item3")) {
                    refusals.incrementAndGet();
                    if (request.pause(50)) {
                        worker.answer(request, 422, "");
                    }
                } else {
                    worker.stream(request, Site.MODEL, 10, 1, 20, event -> "event " + event);
                }
            });
        }
        for (int d = 0; d < 2; d++) {
            s.worker("d" + d, Site.PLAIN, Map.of(), Cases::judge);
        }
        Instance[] instances = {s.instance("edge-z-1"), s.instance("edge-z-2")};
        Thread.sleep(4_000);
        List<String> items = List.of("item1", "item2", "item3", "item4");
        Client.Answer accepted = Client.once(instances[0].front, 5_000, "POST", "/pule252/lot1",
                Site.fields("lot1", 0), Site.submission(0, 1, 1, items));
        s.record.line("submission: " + accepted.status());
        if (accepted.status() != 202) {
            throw new IOException("the submission was answered " + accepted.status());
        }
        Reader reader = new Reader(s.record, "lot1");
        for (int read = 0; read < 20 && reader.results.size() < items.size(); read++) {
            Thread.sleep(500);
            reader.read(instances[read % 2].front, 0);
        }
        Map<String, String> states = new HashMap<>();
        reader.results.forEach((item, result) -> states.put(item, result.path("state").asText()));
        s.record.line("results " + states + "; item3 was answered 422 " + refusals + " times");
        return refusals.get() <= 3;
    }
}
