package org.fuchsialever.node.hosted;

import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;
import org.fuchsialever.platform.RepeatingServer;
import org.fuchsialever.platform.StoreStandIn;

/**
 * An engine that sends each response a second time in place of the next one. Its texts name the
 * run, so that a copy can be told from the response.
 */
final class RepeatingEngine implements AutoCloseable {
    private static final int EVENT_COUNT = 3;

    private final RepeatingServer mServer = new RepeatingServer(this::respond);
    private final Map<String, Integer> mRuns = new HashMap<>();

    /** Writes the directory row of this engine. */
    void register(StoreStandIn store, String id) {
        store.write(
                "servers",
                id,
                "{\"service\":\"engines\",\"address\":\"127.0.0.1:"
                        + mServer.port()
                        + "\",\"zone\":\"z\",\"slots\":8,\"state\":\"ready\",\"seq\":1,"
                        + "\"born\":1,\"models\":[{\"name\":\"m\",\"version\":1}]}");
    }

    /** Returns the text of a run of an item, counted from 1. */
    static String text(String item, int run) {
        StringJoiner text = new StringJoiner("\n");
        for (int event = 1; event <= EVENT_COUNT; event++) {
            text.add(data(item, run, event));
        }
        return text.toString();
    }

    private static String data(String item, int run, int event) {
        return item + " run " + run + " event " + event;
    }

    @Override
    public void close() {
        mServer.close();
    }

    private synchronized String respond(RepeatingServer.Request request) {
        String id = request.headers().getOrDefault("request-id", "");
        int run = mRuns.merge(id, 1, Integer::sum);
        StringBuilder body = new StringBuilder();
        for (int event = 1; event <= EVENT_COUNT; event++) {
            body.append("id: ").append(event).append("\ndata: ");
            body.append(data(id, run, event)).append("\n\n");
        }
        return RepeatingServer.response(
                "200 OK\r\nRequest-Id: "
                        + id
                        + "\r\nResponse-Stamp: stamp-"
                        + id
                        + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream",
                body.toString());
    }
}
