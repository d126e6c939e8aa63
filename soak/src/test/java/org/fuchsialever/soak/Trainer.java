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

    private final SoakWorld world;
    private final Caller caller;
    private final SplittableRandom random;
    private final AtomicInteger underWay = new AtomicInteger();
    private int submitted;

    Trainer(SoakWorld world, Caller caller, SplittableRandom random) {
        this.world = world;
        this.caller = caller;
        this.random = random;
    }

    /** Submits one submission. */
    void submit() {
        String id = "b" + submitted++;
        Set<String> items = new LinkedHashSet<>();
        for (int item = 0; item < ITEMS; item++) {
            items.add(id + "-" + item);
        }
        underWay.incrementAndGet();
        attempt(id, items, SubmissionText.of(List.copyOf(items)), 0, true)
                .doFinally(signal -> underWay.decrementAndGet())
                .subscribe(world.record()::submission);
    }

    private Mono<SoakRecord.Submission> attempt(
            String id, Set<String> items, String text, int attempt, boolean onlyRefused) {
        InstanceProgram instance = instance(random.nextInt(world.instances().size()));
        return caller.call(instance, "POST", "/rollout/" + id, id, text)
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
        return world.instances().get(index);
    }

    /** Reads a submission from its start at an instance and notes what is listed. */
    Mono<CallerStandIn.Response> read(InstanceProgram instance, String id) {
        boolean accepted = world.record().isAccepted(id);
        return caller.call(instance, "GET", "/api/lots/" + id + "?after=0", "read-" + id, "")
                .doOnNext(answer -> noteResults(instance, id, accepted, answer));
    }

    private void noteResults(
            InstanceProgram instance, String id, boolean accepted, CallerStandIn.Response answer) {
        if (accepted && (answer.status() == 404 || answer.status() == 410)) {
            world.record().violation(id + " is accepted but unknown at " + instance.name());
        } else if (answer.status() == 200) {
            world.record().results(instance.name(), id, 0, json(answer.body()));
        }
    }

    /** Reads one of the accepted submissions at any instance. */
    void readAny() {
        List<SoakRecord.Submission> known = world.record().submissions();
        if (!known.isEmpty()) {
            underWay.incrementAndGet();
            String id = known.get(random.nextInt(known.size())).id();
            read(instance(random.nextInt(world.instances().size())), id)
                    .doFinally(signal -> underWay.decrementAndGet())
                    .subscribe();
        }
    }

    boolean isIdle() {
        return underWay.get() == 0;
    }

    static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not JSON: " + text, e);
        }
    }
}
