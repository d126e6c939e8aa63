package org.fuchsialever.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.SubmissionText;
import reactor.core.publisher.Mono;

/** Submits items, submits again elsewhere after a failure, and reads results at all instances. */
final class Trainer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int ITEMS = 6;
    private static final int MOST_ATTEMPTS = 4;
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final SoakWorld mWorld;
    private final Caller mCaller;
    private final SplittableRandom mRandom;
    private final AtomicInteger mUnderWay = new AtomicInteger();
    private int mSubmitted;

    Trainer(SoakWorld world, Caller caller, SplittableRandom random) {
        mWorld = world;
        mCaller = caller;
        mRandom = random;
    }

    /** Submits one submission. */
    void submit() {
        String id = "b" + mSubmitted++;
        Set<String> items = new LinkedHashSet<>();
        for (int item = 0; item < ITEMS; item++) {
            items.add(id + "-" + item);
        }
        mUnderWay.incrementAndGet();
        attempt(id, items, SubmissionText.of(List.copyOf(items)), 0, true)
                .doFinally(signal -> mUnderWay.decrementAndGet())
                .subscribe(mWorld.record()::submission);
    }

    private Mono<SoakRecord.Submission> attempt(
            String id, Set<String> items, String text, int attempt, boolean onlyRefused) {
        InstanceProgram instance = instance(mRandom.nextInt(mWorld.instances().size()));
        return mCaller.call(instance, "POST", "/rollout/" + id, id, text)
                .flatMap(
                        answer -> {
                            boolean refused = answer.status() == 503 || answer.status() == 429;
                            if (answer.status() == 202 || attempt + 1 >= MOST_ATTEMPTS) {
                                return Mono.just(
                                        new SoakRecord.Submission(
                                                id,
                                                items,
                                                answer.status() == 202,
                                                onlyRefused && refused));
                            }
                            return Mono.delay(PAUSE)
                                    .then(
                                            Mono.defer(
                                                    () ->
                                                            attempt(
                                                                    id,
                                                                    items,
                                                                    text,
                                                                    attempt + 1,
                                                                    onlyRefused && refused)));
                        });
    }

    private InstanceProgram instance(int index) {
        return mWorld.instances().get(index);
    }

    /** Reads a submission from its start at an instance and notes what is listed. */
    Mono<CallerStandIn.Response> read(InstanceProgram instance, String id) {
        boolean accepted = mWorld.record().isAccepted(id);
        return mCaller.call(instance, "GET", "/api/lots/" + id + "?after=0", "read-" + id, "")
                .doOnNext(answer -> noteResults(instance, id, accepted, answer));
    }

    private void noteResults(
            InstanceProgram instance, String id, boolean accepted, CallerStandIn.Response answer) {
        if (accepted && (answer.status() == 404 || answer.status() == 410)) {
            mWorld.record().violation(id + " is accepted but unknown at " + instance.name());
        } else if (answer.status() == 200) {
            mWorld.record().results(instance.name(), id, 0, json(answer.body()));
        }
    }

    /** Reads one of the accepted submissions at any instance. */
    void readAny() {
        List<SoakRecord.Submission> known = mWorld.record().submissions();
        if (!known.isEmpty()) {
            mUnderWay.incrementAndGet();
            String id = known.get(mRandom.nextInt(known.size())).id();
            read(instance(mRandom.nextInt(mWorld.instances().size())), id)
                    .doFinally(signal -> mUnderWay.decrementAndGet())
                    .subscribe();
        }
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
