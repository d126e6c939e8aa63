package org.fuchsialever.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.Payload;
import org.fuchsialever.platform.SubmissionText;
import reactor.core.publisher.Mono;

/** Submits items, submits again elsewhere after a failure, and reads results at all instances. */
final class Trainer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int LARGE_STEP = 12;
    private static final int LARGE_PADDING = 100_000;
    private static final int SMALL_PADDING = 400;
    private static final int MOST_REPEATED = 6;
    private static final int MOST_ATTEMPTS = 4;
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final SoakWorld mWorld;
    private final Caller mCaller;
    private final SplittableRandom mRandom;
    private final SoakScale mScale;
    private final AtomicInteger mUnderWay = new AtomicInteger();
    private int mSubmitted;

    Trainer(SoakWorld world, Caller caller, SplittableRandom random, SoakScale scale) {
        mWorld = world;
        mCaller = caller;
        mRandom = random;
        mScale = scale;
    }

    /** Submits one submission; sometimes it has items of an earlier one that was not complete. */
    void submit() {
        String id = "b" + mSubmitted++;
        mUnderWay.incrementAndGet();
        repeatedItems()
                .flatMap(
                        bodies -> {
                            int count = mScale.items(mRandom);
                            int padding = count > LARGE_STEP ? SMALL_PADDING : LARGE_PADDING;
                            for (int item = 0; item < count; item++) {
                                String itemId = id + "-" + item;
                                bodies.put(itemId, Payload.of("body " + itemId, padding));
                            }
                            // A newer version than some of the texts that were kept.
                            long minVersion = mRandom.nextInt(3) == 0 ? mWorld.weightVersion() : 1;
                            return attempt(
                                    new SoakRecord.Submission(
                                            id, bodies, minVersion, System.nanoTime(), false, true),
                                    SubmissionText.of(bodies, minVersion),
                                    0);
                        })
                .doFinally(signal -> mUnderWay.decrementAndGet())
                .subscribe(mWorld.record()::submission);
    }

    /** Ends a submission now and then and returns items of it that it has not listed. */
    private Mono<Map<String, String>> repeatedItems() {
        SoakRecord record = mWorld.record();
        List<SoakRecord.Submission> open =
                record.submissions().stream()
                        .filter(known -> known.accepted() && !record.isEnded(known.id()))
                        .toList();
        if (open.isEmpty() || mRandom.nextInt(3) > 0) {
            return Mono.just(new LinkedHashMap<>());
        }
        SoakRecord.Submission chosen =
                open.stream()
                        .max(Comparator.comparingLong(SoakRecord.Submission::sentNanos))
                        .orElseThrow();
        record.ended(chosen.id());
        Map<String, String> bodies = new LinkedHashMap<>();
        chosen.bodies().entrySet().stream()
                .filter(item -> record.firstListedNanos(chosen.id(), item.getKey()) == 0)
                .limit(MOST_REPEATED)
                .forEach(item -> bodies.put(item.getKey(), item.getValue()));
        InstanceProgram instance = anyInstance();
        return mCaller.call(
                        instance, "DELETE", "/api/lots/" + chosen.id(), "end-" + chosen.id(), "")
                .map(answer -> answer.status() == 200 ? bodies : new LinkedHashMap<>());
    }

    private Mono<SoakRecord.Submission> attempt(
            SoakRecord.Submission submission, String text, int attempt) {
        String id = submission.id();
        return mCaller.call(anyInstance(), "POST", "/rollout/" + id, id, text)
                .flatMap(
                        answer -> {
                            boolean accepted = answer.status() == 202;
                            boolean refused = answer.status() == 503 || answer.status() == 429;
                            SoakRecord.Submission told =
                                    new SoakRecord.Submission(
                                            id,
                                            submission.bodies(),
                                            submission.minVersion(),
                                            submission.sentNanos(),
                                            accepted,
                                            submission.refused() && refused);
                            return accepted || attempt + 1 >= MOST_ATTEMPTS
                                    ? Mono.just(told)
                                    : Mono.delay(PAUSE)
                                            .then(
                                                    Mono.defer(
                                                            () ->
                                                                    attempt(
                                                                            told,
                                                                            text,
                                                                            attempt + 1)));
                        });
    }

    private InstanceProgram anyInstance() {
        return mWorld.instances().get(mRandom.nextInt(mWorld.instances().size()));
    }

    /** Reads a submission from a position to its end and returns the number of its results. */
    Mono<Integer> readAll(InstanceProgram instance, String id, int after) {
        return read(instance, id, after)
                .flatMap(
                        answer -> {
                            int next =
                                    answer.status() == 200
                                            ? json(answer.body()).path("next").asInt(after)
                                            : after;
                            return next > after ? readAll(instance, id, next) : Mono.just(next);
                        });
    }

    private Mono<CallerStandIn.Response> read(InstanceProgram instance, String id, int after) {
        boolean accepted = mWorld.record().isAccepted(id);
        return mCaller.call(
                        instance, "GET", "/api/lots/" + id + "?after=" + after, "read-" + id, "")
                .doOnNext(answer -> noteResults(instance, id, after, accepted, answer));
    }

    private void noteResults(
            InstanceProgram instance,
            String id,
            int after,
            boolean accepted,
            CallerStandIn.Response answer) {
        if (accepted && (answer.status() == 404 || answer.status() == 410)) {
            mWorld.record().violation(id + " is accepted but unknown at " + instance.name());
        } else if (answer.status() == 200) {
            mWorld.record().results(instance.name(), id, after, json(answer.body()));
        }
    }

    /** Reads one of the submissions, or the body of one of its items, at any instance. */
    void readAny() {
        List<SoakRecord.Submission> known = mWorld.record().submissions();
        if (!known.isEmpty()) {
            mUnderWay.incrementAndGet();
            SoakRecord.Submission chosen = known.get(mRandom.nextInt(known.size()));
            (mRandom.nextInt(4) == 0
                            ? readBody(anyInstance(), chosen)
                            : read(anyInstance(), chosen.id(), position(chosen)))
                    .doFinally(signal -> mUnderWay.decrementAndGet())
                    .subscribe();
        }
    }

    /** Mostly the first position that is not known, sometimes the start. */
    private int position(SoakRecord.Submission submission) {
        return mRandom.nextInt(4) == 0 ? 0 : mWorld.record().listedCount(submission.id());
    }

    private Mono<CallerStandIn.Response> readBody(
            InstanceProgram instance, SoakRecord.Submission submission) {
        List<String> items = List.copyOf(submission.items());
        String item = items.get(mRandom.nextInt(items.size()));
        String path = "/api/items/" + submission.id() + "?id=" + item;
        return mCaller.call(instance, "GET", path, "body-" + item, "")
                .doOnNext(
                        answer ->
                                mWorld.record()
                                        .itemBody(
                                                submission, item, answer.status(), answer.body()));
    }

    boolean isIdle() {
        return mUnderWay.get() == 0;
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not JSON: " + text, e);
        }
    }
}
