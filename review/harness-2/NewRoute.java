import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The operator adds a route for new trainers. Some channels between one machine and the store have
 * gone silent just before. The trainers submit their first steps at the other machines.
 */
final class NewRoute {
    private static final int TRAINERS = 12;
    private static final int ITEMS = 12;
    private static final int MAX_WAIT_SECONDS = 40;

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]))) {
            exit = run(site);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Site site) throws Exception {
        String[] models = new String[TRAINERS];
        Map<String, Long> versions = new HashMap<>();
        for (int i = 0; i < TRAINERS; i++) {
            models[i] = "m" + i;
            versions.put(models[i], 1L);
        }
        site.smallDeployment(versions, new Worker.Text(24, 20, "x".repeat(20)));
        site.manifest(3, 3_000, MAX_WAIT_SECONDS, models);
        site.startAll();
        site.awaitReady();
        Thread.sleep(4_000);
        if (site.trouble) {
            Site.Instance cut = site.instances.get(1);
            int open = cut.link.openChannels();
            int silent = cut.link.silence(request -> request.contains("table=op"));
            site.record.say("%d of %d channels of %s to the store go silent", silent, open, cut.name);
        }
        site.addedRoute = "/vodu118/";
        site.manifest(7, 3_000, MAX_WAIT_SECONDS, models);
        Thread.sleep(600);
        long submitted = site.record.millis();
        List<Results> steps = submitAll(site, models);
        boolean broken = false;
        boolean complete = steps.size() == TRAINERS;
        for (Results step : steps) {
            step.readUntil(site.record.millis() + 15_000);
            int verdict = step.verdict(submitted + 1_000L * MAX_WAIT_SECONDS);
            broken |= verdict == 1;
            complete &= verdict != 2;
        }
        return broken ? 1 : complete ? 0 : 2;
    }

    /** Submits the first steps of all trainers at the same time; returns those that got 202. */
    private static List<Results> submitAll(Site site, String[] models) throws Exception {
        ExecutorService trainers = Executors.newFixedThreadPool(TRAINERS);
        List<Future<Boolean>> accepted = new ArrayList<>();
        for (int i = 0; i < TRAINERS; i++) {
            byte[] body =
                    Site.submission(0, models[i], "e5b2" + i, ITEMS, 600, site.addedRoute + "3/", 400);
            Site.Instance at = site.instances.get(i % 2 == 0 ? 0 : 2);
            String id = id(i);
            accepted.add(
                    trainers.submit(() -> site.submit(at, site.addedRoute, id, body).status() == 202));
        }
        List<Results> steps = new ArrayList<>();
        for (int i = 0; i < TRAINERS; i++) {
            if (accepted.get(i).get()) {
                steps.add(new Results(site, id(i), ITEMS));
            }
        }
        trainers.shutdown();
        return steps;
    }

    private static String id(int trainer) {
        return String.format("7c41e09b52d6%04x", trainer);
    }
}
