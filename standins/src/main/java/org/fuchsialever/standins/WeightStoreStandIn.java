package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import org.fuchsialever.kernel.time.TimeSource;
import reactor.core.publisher.Mono;

/** A weight store with a fixed-window rate limit. */
public final class WeightStoreStandIn extends StandInServer {
    private static final int TOO_MANY_REQUESTS = 429;

    private final Map<String, ConcurrentSkipListSet<Long>> mVersions = new ConcurrentHashMap<>();
    private final TimeSource mTime;
    private final long mWindowNanos;
    private final int mRequestLimit;
    private long mWindowStart;
    private int mRequestsInWindow;

    /**
     * Starts a store without versions.
     *
     * @param time the clock of the rate limit
     * @param window the length of a rate-limit window
     * @param limit the maximum number of requests in a window
     */
    public WeightStoreStandIn(TimeSource time, Duration window, int limit) {
        mTime = time;
        mWindowNanos = window.toNanos();
        mRequestLimit = limit;
        mWindowStart = time.nanoTime();
        on("weights", "GET", "/weights/([^/]+)", request -> Mono.just(list(request)));
        on("publish", "POST", "/stand-in/weights/([^/]+)/(\\d+)", r -> Mono.just(publish(r)));
        open();
    }

    /** Adds a version of a model. */
    public void publish(String model, long version) {
        mVersions.computeIfAbsent(model, name -> new ConcurrentSkipListSet<>()).add(version);
    }

    private StandInResponse publish(StandInRequest request) {
        publish(request.pathArguments().get(0), Long.parseLong(request.pathArguments().get(1)));
        return StandInResponse.json(200, Json.object());
    }

    private StandInResponse list(StandInRequest request) {
        if (!admit()) {
            return StandInResponse.error(TOO_MANY_REQUESTS, "rate_limit");
        }
        TreeSet<Long> known = new TreeSet<>();
        ConcurrentSkipListSet<Long> published = mVersions.get(request.pathArguments().get(0));
        if (published == null) {
            return StandInResponse.error(404, "no_such_model");
        }
        known.addAll(published);
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("versions");
        known.forEach(list::add);
        return StandInResponse.json(200, body.put("latest", known.last()));
    }

    private synchronized boolean admit() {
        long now = mTime.nanoTime();
        if (now - mWindowStart >= mWindowNanos) {
            mWindowStart = now;
            mRequestsInWindow = 0;
        }
        return ++mRequestsInWindow <= mRequestLimit;
    }
}
