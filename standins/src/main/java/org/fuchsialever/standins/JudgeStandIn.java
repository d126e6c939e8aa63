package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import reactor.core.publisher.Mono;

/** A judge that computes the score from the prompt and the text only. */
public final class JudgeStandIn extends StandInServer {
    private static final int SCORE_STEPS = 1_000;

    private final Duration mJudgingTime;
    private final List<String> mJudged = new CopyOnWriteArrayList<>();

    /**
     * Starts a judge.
     *
     * @param time how long judging a sample takes
     */
    public JudgeStandIn(Duration time) {
        mJudgingTime = time;
        on("judge", "POST", "/judge", this::judge);
        open();
    }

    /** Returns the score of a text, from 0 to below 1. */
    public static double score(String prompt, String text) {
        return Math.floorMod(31 * prompt.hashCode() + text.hashCode(), SCORE_STEPS)
                / (double) SCORE_STEPS;
    }

    /** Returns the IDs of the judged samples, including repeated ones. */
    public List<String> judged() {
        return List.copyOf(mJudged);
    }

    private Mono<StandInResponse> judge(StandInRequest request) {
        JsonNode body = request.json();
        mJudged.add(body.path("sample").asText());
        double score = score(body.path("prompt").asText(), body.path("text").asText());
        StandInResponse response = StandInResponse.json(200, Json.object().put("score", score));
        return mJudgingTime.isZero()
                ? Mono.just(response)
                : Mono.delay(mJudgingTime).thenReturn(response);
    }
}
