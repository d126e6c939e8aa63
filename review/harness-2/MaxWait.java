import java.nio.file.Path;

/** The operator allows items more time while a submission is open. */
final class MaxWait {
    private static final int ITEMS = 44;
    private static final int SHORT_SECONDS = 12;
    private static final int LONG_SECONDS = 60;

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]))) {
            // A text takes 19 s.
            site.smallDeployment(new Worker.Text(24, 800, "x".repeat(20)));
            site.manifest(3, 3_000, SHORT_SECONDS, "m0");
            site.startAll();
            site.awaitReady();
            Thread.sleep(3_000);
            byte[] body = Site.submission(1, "m0", "e5b2", ITEMS, 600, Site.ROLL + "3/", 400);
            long submitted = site.record.millis();
            String id = "7c41e09b52d6a3f8";
            if (site.submit(site.instances.get(0), id, body).status() == 202) {
                Thread.sleep(1_500);
                if (site.trouble) {
                    site.manifest(7, 3_000, LONG_SECONDS, "m0");
                }
                Results results = new Results(site, id, ITEMS);
                results.readUntil(site.record.millis() + 40_000);
                int seconds = site.trouble ? LONG_SECONDS : SHORT_SECONDS;
                exit = results.verdict(submitted + 1_000L * seconds);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }
}
