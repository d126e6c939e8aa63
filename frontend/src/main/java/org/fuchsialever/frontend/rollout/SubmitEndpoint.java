package org.fuchsialever.frontend.rollout;

import org.fuchsialever.decisions.config.Pool;
import org.fuchsialever.decisions.samples.Submission;
import reactor.netty.http.server.HttpServerRequest;

/** Accepts the groups of a step: {@code POST /v1/rollouts}. */
final class SubmitEndpoint extends RolloutEndpoint {
    private static final int ACCEPTED = 202;

    SubmitEndpoint(RolloutServices services) {
        super(services, "POST");
    }

    @Override
    public boolean accepts(String method, String path) {
        return path.equals(PATH);
    }

    @Override
    Request read(HttpServerRequest request, Admitted admitted) {
        Submission submission =
                reader().submission(admitted.body(), admitted.route(), admitted.team());
        Pool pool = admitted.snapshot().pools().get(admitted.route().pool());
        if (pool == null || !pool.model().equals(submission.model())) {
            throw SubmissionReader.malformed("the route does not serve this model");
        }
        return new Request(
                submission.trainer(),
                true,
                ACCEPTED,
                port().submit(submission)
                        .map(
                                result ->
                                        result.map(
                                                accepted ->
                                                        SampleJson.object()
                                                                .put("accepted", accepted))));
    }
}
