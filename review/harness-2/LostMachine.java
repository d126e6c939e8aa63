import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Seven of nine machines are lost for good while eighteen trainers have two steps of 512 items each
 * open. Checks that the processes of the other machines do not end by themselves.
 */
final class LostMachine {
    private static final int MACHINES = 9;
    private static final int LOST = 7;
    private static final int TRAINERS = 18;
    private static final int STEPS = 2 * TRAINERS;
    private static final int ITEMS = 512;

    /** A prompt of some 2,000 tokens. */
    private static final int BODY_BYTES = 8_000;

    /** The rule counts machines on which processes end by themselves this often. */
    private static final int MIN_ENDS = 3;

    private static final int MIN_MACHINES = 2;
    private static final long LATEST_LOSS_MILLIS = 60_000;
    private static final long END_MILLIS = 108_000;
    private static final long RESTART_MILLIS = 500;

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]))) {
            start(site);
            if (submitAll(site) == STEPS) {
                exit = watch(site);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static void start(Site site) throws Exception {
        Map<String, Long> models = new HashMap<>();
        for (int i = 0; i < TRAINERS; i++) {
            models.put("m" + i, 1L);
        }
        for (int i = 0; i < 6; i++) {
            site.worker(
                    "i-model" + i,
                    "model-farm",
                    8,
                    models,
                    id -> new Worker.Text(24, 60, "x".repeat(300)),
                    true);
        }
        for (int i = 0; i < 4; i++) {
            site.worker("i-desk" + i, "order-desk", 6, Map.of(), null, true);
        }
        site.manifest(3, 3_000, 110, models.keySet().toArray(new String[0]));
        for (int i = 0; i < MACHINES; i++) {
            site.instance("edge-" + i);
        }
        site.startAll();
        site.awaitReady();
        Thread.sleep(3_000);
    }

    /** Submits the steps, one after the other at each machine; a refused one at the next machine. */
    private static int submitAll(Site site) throws Exception {
        ExecutorService trainers = Executors.newFixedThreadPool(MACHINES);
        List<Future<Integer>> accepted = new ArrayList<>();
        for (int machine = 0; machine < MACHINES; machine++) {
            int first = machine;
            accepted.add(trainers.submit(() -> submitFrom(site, first)));
        }
        int count = 0;
        for (Future<Integer> one : accepted) {
            count += one.get();
        }
        trainers.shutdown();
        site.record.say("%d of %d submissions accepted", count, STEPS);
        return count;
    }

    private static int submitFrom(Site site, int first) throws InterruptedException {
        int accepted = 0;
        for (int step = first; step < STEPS; step += MACHINES) {
            byte[] body =
                    Site.submission(
                            step / TRAINERS,
                            "m" + step % TRAINERS,
                            String.format("e5b2%04x", step),
                            ITEMS,
                            BODY_BYTES,
                            Site.ROLL + "3/",
                            2_000);
            String id = String.format("7c41e09b52d6%04x", step);
            int status = 0;
            for (int attempt = 0; attempt < 12 && status != 202; attempt++) {
                status = site.submit(site.instances.get((step + attempt) % MACHINES), id, body).status();
                Thread.sleep(300);
            }
            accepted += status == 202 ? 1 : 0;
        }
        return accepted;
    }

    private static int watch(Site site) throws Exception {
        Thread.sleep(6_000);
        if (site.record.millis() > LATEST_LOSS_MILLIS) {
            site.record.say("too little time is left, after %d ms", site.record.millis());
            return 2;
        }
        List<Site.Instance> left = new ArrayList<>(site.instances);
        if (site.trouble) {
            for (int i = 0; i < LOST; i++) {
                Site.Instance lost = left.remove(0);
                lost.signal("KILL");
                site.record.say("%s is lost for good", lost.name);
            }
        }
        Map<String, Integer> ends = new HashMap<>();
        int asked = 0;
        int answered = 0;
        while (site.record.millis() < END_MILLIS) {
            for (Site.Instance instance : left) {
                if (!instance.process.isAlive()) {
                    int count = ends.merge(instance.name, 1, Integer::sum);
                    site.record.say(
                            "%s: process has ended by itself with status %d, time %d, after %d ms",
                            instance.name,
                            instance.process.exitValue(),
                            count,
                            site.record.millis());
                    Thread.sleep(RESTART_MILLIS);
                    instance.start();
                }
                asked++;
                Map<String, String> fields = Site.fields("q" + asked);
                int status =
                        Caller.call(instance.port, "POST", Site.LOOKUP + "2f", fields, new byte[600], 1_000)
                                .status();
                answered += status == 200 ? 1 : 0;
                site.record.line("lookup at %s: %d", instance.name, status);
            }
            Thread.sleep(500);
        }
        long machines = ends.values().stream().filter(count -> count >= MIN_ENDS).count();
        site.record.say(
                "ends by machine: %s; %d of %d lookups answered with 200", ends, answered, asked);
        return machines >= MIN_MACHINES ? 1 : 0;
    }
}
