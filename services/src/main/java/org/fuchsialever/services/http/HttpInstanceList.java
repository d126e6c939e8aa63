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

    private final InterfaceClient mClient;

    HttpInstanceList(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<List<ListedInstance>> list() {
        return mClient.read(
                "/instances",
                response -> {
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    List<ListedInstance> instances = new ArrayList<>();
                    for (JsonNode instance : InterfaceResponse.list(response.json(), "instances")) {
                        instances.add(instance(instance));
                    }
                    return instances;
                });
    }

    private static ListedInstance instance(JsonNode instance) {
        return new ListedInstance(
                new InstanceId(InterfaceResponse.text(instance, "name")),
                InterfaceResponse.text(instance, "host"),
                (int) InterfaceResponse.number(instance, "http_port"),
                (int) InterfaceResponse.number(instance, "peer_port"),
                InterfaceResponse.text(instance, "region"),
                new FailureDomain(InterfaceResponse.text(instance, "failure_domain")),
                InterfaceResponse.text(instance, "state").equals("leaving"));
    }
}
