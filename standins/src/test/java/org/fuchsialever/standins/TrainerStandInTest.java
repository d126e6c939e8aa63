package org.fuchsialever.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Guards against a trainer that does not detect lost, duplicate or stale samples. */
class TrainerStandInTest {
    private final RolloutService mService = new RolloutService();
    private final List<Long> mVersions = new ArrayList<>();
    private final TrainerStandIn mTrainer =
            new TrainerStandIn(
                    new TrainerOptions()
                            .step(2, 3, 4)
                            .trainingTime(Duration.ofMillis(1))
                            .retryDelay(Duration.ofMillis(1)),
                    mService::url,
                    mVersions::add);

    @AfterEach
    void stop() {
        mTrainer.close();
        mService.close();
    }

    @Test
    void trainsOnEveryStepAndAcknowledgesAllItReceived() {
        mTrainer.run(1, 3).block();

        assertThat(mService.mSteps, contains(1L, 2L, 3L));
        assertThat(mTrainer.record().samples(), is(18));
        assertThat(mVersions, contains(1L, 2L, 3L));
        assertThat(mTrainer.record().gaps(), is(empty()));
        assertThat(mTrainer.record().duplicates(), is(empty()));
        assertThat(mTrainer.record().samplesWithBrokenRanges(), is(empty()));
        assertThat(mService.mAcknowledged, is(18L));
    }

    /** The service refuses a group whose name is not a JSON string. */
    @Test
    void namesItsGroupsInText() {
        mTrainer.submit(1).block();

        assertThat(mService.mSamples.get(0).path("group").isTextual(), is(true));
    }

    @Test
    void repeatsASubmissionWhoseAnswerWasLost() {
        mService.faults().set(FaultMode.LOSE_ANSWER, Duration.ZERO, 1);
        mTrainer.submit(1).block();

        assertThat(mService.mSteps, contains(1L, 1L));
        assertThat(mTrainer.responseCounts(), hasEntry("submit failed", 1L));
        assertThat(mTrainer.responseCounts(), hasEntry("submit 202", 1L));
    }

    @Test
    void recordsRepetitionsDuplicatesAndGaps() {
        TrainerRecord record = new TrainerRecord(2);
        assertThat(record.receive(sample(0, 0, 7)), is(true));
        assertThat(record.receive(sample(0, 0, 7)), is(false));
        assertThat(record.receive(sample(1, 0, 7)), is(false));
        assertThat(record.receive(sample(4, 1, 7)), is(true));

        assertThat(record.repeatedSampleCount(), is(1L));
        assertThat(record.duplicates(), contains("1/0/0"));
        assertThat(record.gaps(), contains("2 to 3"));
    }

    @Test
    void recordsASampleWhoseOldestRangeIsTooOld() {
        TrainerRecord record = new TrainerRecord(2);
        record.newestVersion(9);
        record.receive(sample(0, 0, 7));
        record.receive(sample(1, 1, 6));

        assertThat(record.staleSamples(), contains("1/0/1"));
    }

    @Test
    void recordsASampleWhoseRangesLeaveOutTokens() {
        TrainerRecord record = new TrainerRecord(2);
        ObjectNode sample = sample(0, 0, 1);
        ((ArrayNode) sample.path("ranges"))
                .addObject()
                .put("from", 5)
                .put("to", 6)
                .put("weight_version", 1);
        record.receive(sample);

        assertThat(record.samplesWithBrokenRanges(), contains("1/0/0"));
    }

    private static ObjectNode sample(long position, int index, long version) {
        ObjectNode sample = Json.object();
        sample.put("position", position).put("step", 1).put("group", 0).put("index", index);
        sample.putArray("ranges")
                .addObject()
                .put("from", 0)
                .put("to", 4)
                .put("weight_version", version);
        return sample;
    }

    /** Delivers the samples of all submitted steps in pages. */
    private static final class RolloutService extends StandInServer {
        private static final int PAGE_SIZE = 4;

        private final List<Long> mSteps = new ArrayList<>();
        private final List<ObjectNode> mSamples = new ArrayList<>();
        private long mAcknowledged;

        private RolloutService() {
            on("submit", "POST", "/v1/rollouts", request -> Mono.just(submit(request.json())));
            on("collect", "GET", "/v1/rollouts/[^/]+/samples", r -> Mono.just(collect(r)));
            on("ack", "POST", "/v1/rollouts/[^/]+/ack", r -> Mono.just(acknowledge(r.json())));
            open();
        }

        private synchronized StandInResponse submit(JsonNode body) {
            long step = body.path("step").asLong();
            mSteps.add(step);
            for (JsonNode group : body.path("groups")) {
                for (int i = 0; i < group.path("samples").asInt(); i++) {
                    ObjectNode sample = sample(mSamples.size(), i, step - 1);
                    mSamples.add(sample.put("step", step).set("group", group.path("group")));
                }
            }
            return StandInResponse.json(202, Json.object().put("accepted", true));
        }

        private synchronized StandInResponse collect(StandInRequest request) {
            int cursor = Integer.parseInt(request.query("cursor", "0"));
            int end = Math.min(mSamples.size(), cursor + PAGE_SIZE);
            ObjectNode body = Json.object();
            body.putArray("samples").addAll(mSamples.subList(cursor, end));
            return StandInResponse.json(200, body.put("cursor", end));
        }

        private synchronized StandInResponse acknowledge(JsonNode body) {
            mAcknowledged = Math.max(mAcknowledged, body.path("cursor").asLong());
            return StandInResponse.json(200, Json.object());
        }
    }
}
