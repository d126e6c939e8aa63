package org.fuchsialever.frontend.rollout;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.model.TrainerName;
import reactor.netty.http.server.HttpServerRequest;

/** Returns samples: {@code GET /v1/rollouts/<trainer>/samples}. */
final class SamplesEndpoint extends RolloutEndpoint {
    private static final String SUFFIX = "/samples";
    private static final int OK = 200;
    private static final long MAX_WAIT_MILLIS = 60_000;
    private static final long DEFAULT_LIMIT = 64;
    private static final long MAX_LIMIT = 1_024;

    SamplesEndpoint(RolloutServices services) {
        super(services, "GET");
    }

    @Override
    public boolean accepts(String method, String path) {
        return trainerIn(path, SUFFIX).isDefined();
    }

    @Override
    Request read(HttpServerRequest request, Admitted admitted) {
        TrainerName trainer = trainerIn("/" + request.path(), SUFFIX).get();
        Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
        long cursor = number(query, "cursor", 0, Long.MAX_VALUE);
        long wait = number(query, "wait_ms", 0, MAX_WAIT_MILLIS);
        long limit = Math.max(1, number(query, "limit", DEFAULT_LIMIT, MAX_LIMIT));
        return new Request(
                trainer,
                false,
                OK,
                port().samples(
                                admitted.team(),
                                trainer,
                                cursor,
                                (int) limit,
                                Duration.ofMillis(wait))
                        .map(result -> result.map(SampleJson::page)));
    }

    private static long number(
            Map<String, List<String>> query, String key, long defaultValue, long max) {
        return SubmissionReader.query(key, query.getOrDefault(key, List.of()), defaultValue, max);
    }
}
