package org.fuchsialever.frontend.rollout;

import org.fuchsialever.decisions.model.TrainerName;
import reactor.netty.http.server.HttpServerRequest;

/** Accepts a trainer's cursor: {@code POST /v1/rollouts/<trainer>/ack}. */
final class AcknowledgeEndpoint extends RolloutEndpoint {
    private static final String SUFFIX = "/ack";
    private static final int OK = 200;

    AcknowledgeEndpoint(RolloutServices services) {
        super(services, "POST");
    }

    @Override
    public boolean accepts(String method, String path) {
        return trainerIn(path, SUFFIX).isDefined();
    }

    @Override
    Request read(HttpServerRequest request, Admitted admitted) {
        TrainerName trainer = trainerIn("/" + request.path(), SUFFIX).get();
        long cursor = reader().cursor(admitted.body());
        return new Request(
                trainer,
                false,
                OK,
                port().acknowledge(admitted.team(), trainer, cursor)
                        .map(
                                result ->
                                        result.map(
                                                accepted ->
                                                        SampleJson.object()
                                                                .put("cursor", accepted))));
    }
}
