package org.fuchsialever.benchmarks.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.WeightVersion;

/** An engine with slots, a queue, a fixed token rate and a prefix cache. */
final class EngineModel {
    private static final long PREFILL_NANOS_PER_TOKEN = TimeUnit.MICROSECONDS.toNanos(200);
    private static final double CACHED_PART = 0.9;

    private final Agenda agenda;
    private final UpstreamSpec spec;
    private final long nanosPerToken;
    private final Map<Long, Boolean> cache;
    private final Deque<Job> queue = new ArrayDeque<>();
    private int running;
    private int hits;
    private int started;

    EngineModel(Agenda agenda, UpstreamSpec spec, long nanosPerToken, int cacheEntries) {
        this.agenda = agenda;
        this.spec = spec;
        this.nanosPerToken = nanosPerToken;
        this.cache =
                new LinkedHashMap<>(cacheEntries, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > cacheEntries;
                    }
                };
    }

    UpstreamSpec spec() {
        return spec;
    }

    Job submit(long prefix, int promptTokens, int tokens, Consumer<AttemptReport> done) {
        Job job = new Job(prefix, promptTokens, tokens, agenda.now(), done);
        queue.add(job);
        startNext();
        return job;
    }

    /** Stops a job at once; its slot becomes free. */
    void cancel(Job job) {
        job.cancelled = true;
        if (!queue.remove(job) && job.runs) {
            job.runs = false;
            running--;
            startNext();
        }
    }

    int busy() {
        return running + queue.size();
    }

    int hits() {
        return hits;
    }

    int started() {
        return started;
    }

    LoadReport report(long ageNanos) {
        return new LoadReport(
                running,
                queue.size(),
                spec.slots(),
                new WeightVersion(0),
                "start",
                false,
                ageNanos);
    }

    private void startNext() {
        while (running < spec.slots() && !queue.isEmpty()) {
            Job job = queue.remove();
            job.runs = true;
            running++;
            started++;
            boolean hit = cache.put(job.prefix, true) != null;
            hits += hit ? 1 : 0;
            double prefill = job.promptTokens * (double) PREFILL_NANOS_PER_TOKEN;
            long firstToken = (long) (hit ? prefill * (1 - CACHED_PART) : prefill);
            long firstByte = agenda.now() + firstToken - job.submittedAt;
            long service = firstToken + job.tokens * nanosPerToken;
            long total = agenda.now() + service - job.submittedAt;
            agenda.after(service, () -> finish(job, firstByte, total));
        }
    }

    private void finish(Job job, long firstByte, long total) {
        if (job.cancelled) {
            return;
        }
        job.runs = false;
        running--;
        startNext();
        job.done.accept(
                new AttemptReport(
                        AttemptResult.COMPLETED, job.promptTokens, job.tokens, firstByte, total));
    }

    /** One request at the engine. */
    static final class Job {
        private final long prefix;
        private final int promptTokens;
        private final int tokens;
        private final long submittedAt;
        private final Consumer<AttemptReport> done;
        private boolean runs;
        private boolean cancelled;

        private Job(
                long prefix,
                int promptTokens,
                int tokens,
                long submittedAt,
                Consumer<AttemptReport> done) {
            this.prefix = prefix;
            this.promptTokens = promptTokens;
            this.tokens = tokens;
            this.submittedAt = submittedAt;
            this.done = done;
        }
    }
}
