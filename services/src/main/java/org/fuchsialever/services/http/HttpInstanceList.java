package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.services.InstanceList;
import org.fuchsialever.services.ListedInstance;
import reactor.core.publisher.Mono;

/** The instance list over HTTP. */
final class HttpInstanceList implements InstanceList {
    private static final int OK = 200;

    private final HttpTarget target;

    HttpInstanceList(HttpTarget target) {
        this.target = target;
    }

    @Override
    public Mono<List<ListedInstance>> list() {
        return target.read(
                "/instances",
                response -> {
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    List<ListedInstance> instances = new ArrayList<>();
                    for (JsonNode instance : HttpReply.list(response.json(), "instances")) {
                        instances.add(instance(instance));
                    }
                    return instances;
                });
    }

    private static ListedInstance instance(JsonNode instance) {
        return new ListedInstance(
                new InstanceId(HttpReply.text(instance, "name")),
                HttpReply.text(instance, "host"),
                (int) HttpReply.number(instance, "http_port"),
                (int) HttpReply.number(instance, "peer_port"),
                HttpReply.text(instance, "region"),
                new FailureDomain(HttpReply.text(instance, "failure_domain")),
                HttpReply.text(instance, "state").equals("leaving"));
    }
}
