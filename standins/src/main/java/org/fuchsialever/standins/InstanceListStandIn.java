package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import reactor.core.publisher.Mono;

/** The platform's list of instances, which shows changes with a delay. */
public final class InstanceListStandIn extends StandInServer {
    private final Map<String, ListedInstanceEntry> mActual = new ConcurrentSkipListMap<>();
    private final Duration mLag;
    private volatile Map<String, ListedInstanceEntry> mPublished = Map.of();

    /**
     * Starts an empty list.
     *
     * @param lag the delay after which a change becomes visible
     */
    public InstanceListStandIn(Duration lag) {
        mLag = lag;
        on("instances", "GET", "/instances", request -> Mono.just(list()));
        open();
    }

    /** Adds or replaces an instance. */
    public void put(ListedInstanceEntry instance) {
        mActual.put(instance.name(), instance);
        publish();
    }

    /** Removes an instance. */
    public void remove(String name) {
        mActual.remove(name);
        publish();
    }

    private void publish() {
        Map<String, ListedInstanceEntry> copy = new TreeMap<>(mActual);
        if (mLag.isZero()) {
            mPublished = copy;
        } else {
            Mono.delay(mLag).subscribe(done -> mPublished = copy);
        }
    }

    private StandInResponse list() {
        ObjectNode body = Json.object();
        ArrayNode instances = body.putArray("instances");
        for (ListedInstanceEntry instance : mPublished.values()) {
            instances
                    .addObject()
                    .put("name", instance.name())
                    .put("host", instance.host())
                    .put("http_port", instance.httpPort())
                    .put("peer_port", instance.peerPort())
                    .put("region", instance.region())
                    .put("failure_domain", instance.failureDomain())
                    .put("state", instance.leaving() ? "leaving" : "live");
        }
        return StandInResponse.json(200, body);
    }
}
