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

    private final long requestTimeoutNanos;
    private final Duration startTime;
    private final UpstreamStarter starter;
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final Set<String> unavailable = new HashSet<>();
    private final List<ReceivedOrder> received = new ArrayList<>();

    /**
     * Starts an ordering interface.
     *
     * @param requestTimeout the time within which a connection must deliver a complete request
     * @param startTime how long an upstream is in state "starting"
     * @param starter starts the upstreams
     */
    public OrderingStandIn(Duration requestTimeout, Duration startTime, UpstreamStarter starter) {
        this.requestTimeoutNanos = requestTimeout.toNanos();
        this.startTime = startTime;
        this.starter = starter;
        on("order", "POST", "/orders", request -> Mono.just(order(request)));
        on("upstreams", "GET", "/upstreams", request -> Mono.just(list()));
        open();
    }

    /** Returns all orders in the order of their arrival, including repeated ones. */
    public synchronized List<ReceivedOrder> received() {
        return List.copyOf(received);
    }

    /** Returns the state of an upstream: starting, serving, leaving or stopped. */
    public synchronized String stateOf(String upstream) {
        Upstream known = upstreams.get(upstream);
        return known == null ? "unknown" : known.state;
    }

    /** Adds an upstream that is already serving. */
    public synchronized void addServing(
            String upstream, String pool, String failureDomain, String kind, int port) {
        ReceivedOrder order =
                new ReceivedOrder(
                        "initial", "start", upstream, pool, failureDomain, kind, "", ACCEPTED, 0);
        Upstream added = new Upstream(order, "serving");
        added.port = port;
        upstreams.put(upstream, added);
    }

    /** Sets whether capacity of a kind is available in a failure domain. */
    public synchronized void setAvailable(String failureDomain, String kind, boolean available) {
        if (available) {
            unavailable.remove(failureDomain + "/" + kind);
        } else {
            unavailable.add(failureDomain + "/" + kind);
        }
    }

    /** Announces that all cheap upstreams of a failure domain stop after the notice period. */
    public synchronized void reclaim(String failureDomain, Duration notice) {
        setAvailable(failureDomain, "cheap", false);
        long at = System.currentTimeMillis() + notice.toMillis();
        for (Upstream upstream : upstreams.values()) {
            if (upstream.order.failureDomain().equals(failureDomain)
                    && upstream.order.kind().equals("cheap")
                    && !upstream.state.equals("stopped")) {
                upstream.state = "leaving";
                upstream.reclaimAtMillis = at;
                Mono.delay(notice).subscribe(done -> setState(upstream, "stopped"));
            }
        }
    }

    @Override
    void onConnection(Channel channel) {
        channel.pipeline()
                .addLast(
                        RequestDeadlineHandler.NAME,
                        new RequestDeadlineHandler(requestTimeoutNanos));
    }

    @Override
    void onRequestComplete(Channel channel) {
        ((RequestDeadlineHandler) channel.pipeline().get(RequestDeadlineHandler.NAME)).restart();
    }

    private synchronized StandInResponse order(StandInRequest request) {
        ReceivedOrder order = readOrder(request, 0);
        int status = statusOf(order);
        received.add(readOrder(request, status));
        if (status == ACCEPTED) {
            execute(order);
            return StandInResponse.json(status, Json.object().put("order", order.orderId()));
        }
        return StandInResponse.error(
                status, status == CONFLICT ? "name_used_before" : "capacity_unavailable");
    }

    private int statusOf(ReceivedOrder order) {
        Upstream known = upstreams.get(order.upstream());
        if (!order.action().equals("start")) {
            return ACCEPTED;
        }
        if (known != null) {
            return known.order.orderId().equals(order.orderId()) ? ACCEPTED : CONFLICT;
        }
        return unavailable.contains(order.failureDomain() + "/" + order.kind())
                ? UNAVAILABLE
                : ACCEPTED;
    }

    private void execute(ReceivedOrder order) {
        Upstream known = upstreams.get(order.upstream());
        if (order.action().equals("stop")) {
            if (known != null) {
                known.state = "stopped";
            }
        } else if (known == null) {
            Upstream added = new Upstream(order, "starting");
            upstreams.put(order.upstream(), added);
            Mono.delay(startTime)
                    .publishOn(Schedulers.boundedElastic())
                    .map(done -> starter.start(order.upstream(), order.pool()))
                    .subscribe(port -> onStarted(added, port));
        }
    }

    private synchronized void onStarted(Upstream upstream, int port) {
        upstream.port = port;
        if (upstream.state.equals("starting")) {
            upstream.state = "serving";
        }
    }

    private synchronized void setState(Upstream upstream, String state) {
        upstream.state = state;
    }

    private synchronized StandInResponse list() {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("upstreams");
        for (Upstream upstream : upstreams.values()) {
            list.addObject()
                    .put("upstream", upstream.order.upstream())
                    .put("pool", upstream.order.pool())
                    .put("failure_domain", upstream.order.failureDomain())
                    .put("kind", upstream.order.kind())
                    .put("host", HOST)
                    .put("port", upstream.port)
                    .put("state", upstream.state)
                    .put("reclaim_at_millis", upstream.reclaimAtMillis);
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
        private final ReceivedOrder order;
        private String state;
        private int port;
        private long reclaimAtMillis;

        private Upstream(ReceivedOrder order, String state) {
            this.order = order;
            this.state = state;
        }
    }
}
