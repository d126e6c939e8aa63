import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** The results of one submission as a trainer reads them, at one instance after the other. */
final class Results {
    private static final long READ_INTERVAL_MILLIS = 300;

    private final Site site;
    private final String id;
    private final int items;
    private int listed;
    private int errored;
    private long firstErroredMillis = -1;

    Results(Site site, String id, int items) {
        this.site = site;
        this.id = id;
        this.items = items;
    }

    /** Reads until all items are listed, at most until the given time. */
    void readUntil(long endMillis) throws IOException, InterruptedException {
        for (int round = 0; listed < items && site.record.millis() < endMillis; round++) {
            Site.Instance at = site.instances.get(round % site.instances.size());
            Caller.Response page = site.results(at, id, listed);
            if (page.status() != 200) {
                site.record.line("read at %s: %d", at.name, page.status());
            } else {
                for (JsonNode result : Site.MAPPER.readTree(page.body()).path("results")) {
                    note(result);
                }
            }
            Thread.sleep(READ_INTERVAL_MILLIS);
        }
    }

    private void note(JsonNode result) {
        String state = result.path("state").asText();
        site.record.line("position %d: %s %s", listed, result.path("id").asText(), state);
        listed++;
        if (state.equals("errored")) {
            errored++;
            firstErroredMillis = firstErroredMillis < 0 ? site.record.millis() : firstErroredMillis;
        }
    }

    /**
     * Returns the exit status: 1 if an item was errored too early. No worker of these cases answers
     * with 422 or 500, and no submission or route ends.
     *
     * @param mayErrFromMillis when {@code maxWaitS} is over
     */
    int verdict(long mayErrFromMillis) {
        site.record.say(
                "%d of %d items listed, %d of them errored, the first after %d ms; allowed from %d ms on",
                listed, items, errored, firstErroredMillis, mayErrFromMillis);
        if (listed < items) {
            return 2;
        }
        return errored > 0 && firstErroredMillis < mayErrFromMillis ? 1 : 0;
    }
}
