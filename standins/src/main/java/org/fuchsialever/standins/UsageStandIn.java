package org.fuchsialever.standins;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import reactor.core.publisher.Mono;

/** The platform's usage interface, which keeps the first report of each window. */
public final class UsageStandIn extends StandInServer {
    private static final int CONFLICT = 409;

    private final Map<String, byte[]> mReports = new ConcurrentSkipListMap<>();
    private final List<String> mConflictingWindows = new CopyOnWriteArrayList<>();

    /** Starts a usage interface without reports. */
    public UsageStandIn() {
        on("report", "PUT", "/usage-reports/([^/]+)", request -> Mono.just(put(request)));
        open();
    }

    /** Returns the reports by window. */
    public Map<String, String> reports() {
        Map<String, String> texts = new TreeMap<>();
        mReports.forEach((window, body) -> texts.put(window, text(body)));
        return texts;
    }

    /** Returns the windows for which a second, different report was sent. */
    public List<String> conflictingWindows() {
        return List.copyOf(mConflictingWindows);
    }

    private StandInResponse put(StandInRequest request) {
        String window = request.pathArguments().get(0);
        byte[] earlier = mReports.putIfAbsent(window, request.body());
        if (earlier == null) {
            return StandInResponse.json(201, Json.object());
        }
        if (Arrays.equals(earlier, request.body())) {
            return StandInResponse.json(200, Json.object());
        }
        mConflictingWindows.add(window);
        return StandInResponse.error(CONFLICT, "different_report");
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }
}
