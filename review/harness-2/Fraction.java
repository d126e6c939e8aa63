import java.nio.file.Path;
import java.util.Map;

/** The settings files change: one bound becomes a fraction. Then the machines restart in turn. */
final class Fraction {
    private static final int MAX_STARTS = 3;
    private static final long READY_MILLIS = 15_000;

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site site = new Site(Path.of(arguments[0]))) {
            site.smallDeployment(new Worker.Text(24, 20, "x"));
            site.manifest(3, 3_000, 40, "m0");
            site.startAll();
            site.awaitReady();
            Thread.sleep(3_000);
            if (site.trouble) {
                site.graceSeconds = "7.5";
                for (Site.Instance instance : site.instances) {
                    instance.writeSettings();
                    instance.signal("HUP");
                }
                site.record.say("bounds.graceS changes from 8 to %s", site.graceSeconds);
                Thread.sleep(2_000);
            }
            int back = 0;
            for (Site.Instance instance : site.instances) {
                back += restart(site, instance) ? 1 : 0;
            }
            int answered = 0;
            for (Site.Instance instance : site.instances) {
                Map<String, String> fields = Site.fields("q" + instance.name);
                int status =
                        Caller.call(instance.port, "POST", Site.LOOKUP + "2f", fields, new byte[600], 2_000)
                                .status();
                site.record.line("lookup at %s: %d", instance.name, status);
                answered += status == 200 ? 1 : 0;
            }
            int all = site.instances.size();
            site.record.say("%d of %d machines are back, %d of %d lookups answered", back, all, answered, all);
            exit = back == all ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    /** Stops a machine's process as the platform does, starts it again and awaits that it is ready. */
    private static boolean restart(Site site, Site.Instance instance) throws Exception {
        instance.signal("TERM");
        instance.process.waitFor();
        site.record.line("%s has stopped with status %d", instance.name, instance.process.exitValue());
        for (int start = 1; start <= MAX_STARTS; start++) {
            Thread.sleep(500);
            instance.start();
            long end = site.record.millis() + READY_MILLIS;
            while (instance.process.isAlive() && site.record.millis() < end) {
                if (instance.isReady()) {
                    site.record.line("%s is ready", instance.name);
                    return true;
                }
                Thread.sleep(200);
            }
            site.record.say(
                    "%s does not start, %s",
                    instance.name,
                    instance.process.isAlive() ? "not ready" : "status " + instance.process.exitValue());
        }
        return false;
    }
}
