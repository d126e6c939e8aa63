package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * The platform's ordering interface. It does not check fencing tokens, and it closes a connection
 * that does not deliver a complete request within a timeout.
 */
public final class OrderingStandIn extends StandInServer {
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final long mRequestTimeoutNanos;
    private final Duration mStartTime;
    private final UpstreamStarter mStarter;
    private final Map<String, Upstream> mUpstreams = new LinkedHashMap<>();
    private final Set<String> mUnavailable = new HashSet<>();
    private final List<ReceivedOrder> mReceived = new ArrayList<>();

    /**
     * Starts an ordering interface.
     *
     * @param requestTimeout the time within which a connection must deliver a complete request
     * @param startTime how long an upstream is in state "starting"
     * @param starter starts the upstreams
     */
    public OrderingStandIn(Duration requestTimeout, Duration startTime, UpstreamStarter starter) {
        mRequestTimeoutNanos = requestTimeout.toNanos();
        mStartTime = startTime;
        mStarter = starter;
        on("order", "POST", "/orders", request -> Mono.just(order(request)));
        on("upstreams", "GET", "/upstreams", request -> Mono.just(list()));
        open();
    }

    /** Returns all orders in the order of their arrival, including repeated ones. */
    public synchronized List<ReceivedOrder> received() {
        return List.copyOf(mReceived);
    }

    /** Returns the state of an upstream: starting, serving, leaving or stopped. */
    public synchronized String stateOf(String upstream) {
        Upstream known = mUpstreams.get(upstream);
        return known == null ? "unknown" : known.mState;
    }

    /** Adds an upstream that is already serving. */
    public synchronized void addServing(
            String upstream, String pool, String failureDomain, String kind, int port) {
        ReceivedOrder order =
                new ReceivedOrder(
                        "initial", "start", upstream, pool, failureDomain, kind, "", ACCEPTED, 0);
        Upstream added = new Upstream(order, "serving");
        added.mPort = port;
        mUpstreams.put(upstream, added);
    }

    /** Sets whether capacity of a kind is available in a failure domain. */
    public synchronized void setAvailable(String failureDomain, String kind, boolean available) {
        if (available) {
            mUnavailable.remove(failureDomain + "/" + kind);
        } else {
            mUnavailable.add(failureDomain + "/" + kind);
        }
    }

    /** Announces that all cheap upstreams of a failure domain stop after the notice period. */
    public synchronized void reclaim(String failureDomain, Duration notice) {
        setAvailable(failureDomain, "cheap", false);
        long at = System.currentTimeMillis() + notice.toMillis();
        for (Upstream upstream : mUpstreams.values()) {
            if (upstream.mOrder.failureDomain().equals(failureDomain)
                    && upstream.mOrder.kind().equals("cheap")
                    && !upstream.mState.equals("stopped")) {
                upstream.mState = "leaving";
                upstream.mReclaimAtMillis = at;
                Mono.delay(notice).subscribe(done -> setState(upstream, "stopped"));
            }
        }
    }

    @Override
    void onConnection(Channel channel) {
        channel.pipeline()
                .addLast(
                        RequestDeadlineHandler.NAME,
                        new RequestDeadlineHandler(mRequestTimeoutNanos));
    }

    @Override
    void onRequestComplete(Channel channel) {
        ((RequestDeadlineHandler) channel.pipeline().get(RequestDeadlineHandler.NAME)).restart();
    }

    private synchronized StandInResponse order(StandInRequest request) {
        ReceivedOrder order = readOrder(request, 0);
        int status = statusOf(order);
        mReceived.add(readOrder(request, status));
        if (status == ACCEPTED) {
            execute(order);
            return StandInResponse.json(status, Json.object().put("order", order.orderId()));
        }
        return StandInResponse.error(
                status, status == CONFLICT ? "name_used_before" : "capacity_unavailable");
    }

    private int statusOf(ReceivedOrder order) {
        Upstream known = mUpstreams.get(order.upstream());
        if (!order.action().equals("start")) {
            return ACCEPTED;
        }
        if (known != null) {
            return known.mOrder.orderId().equals(order.orderId()) ? ACCEPTED : CONFLICT;
        }
        return mUnavailable.contains(order.failureDomain() + "/" + order.kind())
                ? UNAVAILABLE
                : ACCEPTED;
    }

    private void execute(ReceivedOrder order) {
        Upstream known = mUpstreams.get(order.upstream());
        if (order.action().equals("stop")) {
            if (known != null) {
                known.mState = "stopped";
            }
        } else if (known == null) {
            Upstream added = new Upstream(order, "starting");
            mUpstreams.put(order.upstream(), added);
            Mono.delay(mStartTime)
                    .publishOn(Schedulers.boundedElastic())
                    .map(done -> mStarter.start(order.upstream(), order.pool()))
                    .subscribe(port -> onStarted(added, port));
        }
    }

    private synchronized void onStarted(Upstream upstream, int port) {
        upstream.mPort = port;
        if (upstream.mState.equals("starting")) {
            upstream.mState = "serving";
        }
    }

    private synchronized void setState(Upstream upstream, String state) {
        upstream.mState = state;
    }

    private synchronized StandInResponse list() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("upstreams");
        for (Upstream upstream : mUpstreams.values()) {
            list.addObject()
                    .put("upstream", upstream.mOrder.upstream())
                    .put("pool", upstream.mOrder.pool())
                    .put("failure_domain", upstream.mOrder.failureDomain())
                    .put("kind", upstream.mOrder.kind())
                    .put("host", HOST)
                    .put("port", upstream.mPort)
                    .put("state", upstream.mState)
                    .put("reclaim_at_millis", upstream.mReclaimAtMillis);
        }
        return StandInResponse.json(200, body);
    }

    private static ReceivedOrder readOrder(StandInRequest request, int status) {
        JsonNode body = request.json();
        String agent = request.header("User-Agent");
        return new ReceivedOrder(
                body.path("order").asText(),
                body.path("action").asText(),
                body.path("upstream").asText(),
                body.path("pool").asText(),
                body.path("failure_domain").asText(),
                body.path("kind").asText(),
                agent.isEmpty() ? Integer.toString(request.remotePort()) : agent,
                status,
                System.nanoTime());
    }

    private static final class Upstream {
        private final ReceivedOrder mOrder;
        private String mState;
        private int mPort;
        private long mReclaimAtMillis;

        private Upstream(ReceivedOrder order, String state) {
            mOrder = order;
            mState = state;
        }
    }
}
