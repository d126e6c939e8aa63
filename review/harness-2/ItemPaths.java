import java.nio.file.Path;

/**
 * A manifest that only changes a timeout arrives while items run whose path is not below the prefix
 * of the route of their submission.
 */
final class ItemPaths {
    private static final int ITEMS = 44;
    private static final int MAX_WAIT_SECONDS = 40;

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.smallDeployment(new Worker.Text(24, 150, "x".repeat(20)));
            site.manifest(3, 3_000, MAX_WAIT_SECONDS, "m0");
            site.startAll();
            site.awaitReady();
            Thread.sleep(3_000);
            byte[] body = Site.submission(1, "m0", "e5b2", ITEMS, 600, "/v1/completions/", 400);
            long submitted = site.record.millis();
            String id = "7c41e09b52d6a3f8";
            if (site.submit(site.instances.get(0), id, body).status() == 202) {
                Thread.sleep(1_500);
                if (site.trouble) {
                    site.manifest(7, 3_200, MAX_WAIT_SECONDS, "m0");
                }
                Results results = new Results(site, id, ITEMS);
                results.readUntil(site.record.millis() + 30_000);
                exit = results.verdict(submitted + 1_000L * MAX_WAIT_SECONDS);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }
}
