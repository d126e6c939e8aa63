package org.fuchsialever.services.http;

import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.services.WeightStore;
import reactor.core.publisher.Mono;

/** The weight store over HTTP; a call above its rate limit fails as refused. */
final class HttpWeightStore implements WeightStore {
    private static final int OK = 200;

    private final InterfaceClient mClient;

    HttpWeightStore(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<WeightVersion> latest(String model) {
        return mClient.read(
                "/weights/" + InterfaceClient.encode(model),
                response -> {
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    return new WeightVersion(InterfaceResponse.number(response.json(), "latest"));
                });
    }
}
