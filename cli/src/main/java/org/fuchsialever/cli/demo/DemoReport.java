package org.fuchsialever.cli.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.fuchsialever.standins.TrainerRecord;

/** Figures of a run, and what did not hold although it always must. */
final class DemoReport {
    private static final int MEDIAN = 50;
    private static final int HIGH = 99;
    private static final int SHOWN_ANSWERS = 5;

    private final ObjectNode body = new ObjectMapper().createObjectNode();
    private final List<String> faults = new ArrayList<>();
    private final DemoDeployment deployment;
    private final CallTally tally;

    /** Takes the figures of a run whose work has ended. */
    DemoReport(
            DemoDeployment deployment,
            CallTally tally,
            DemoTrainers trainers,
            List<String> problems) {
        this.deployment = deployment;
        this.tally = tally;
        faults.addAll(problems);
        addSamples(trainers);
        addCalls();
        addChecks();
        faults.forEach(body.putArray("faults")::add);
    }

    /** Returns the figures as one JSON object. */
    ObjectNode json() {
        return body;
    }

    /** Returns what did not hold. */
    List<String> faults() {
        return List.copyOf(faults);
    }

    void print(PrintStream out) {
        body.properties()
                .forEach(
                        entry ->
                                out.printf(
                                        Locale.ROOT,
                                        "%-24s %s%n",
                                        entry.getKey(),
                                        entry.getValue()));
        out.println(faults.isEmpty() ? "Everything held." : faults.size() + " faults.");
    }

    private void addSamples(DemoTrainers trainers) {
        long delivered = 0;
        long duplicates = 0;
        long stale = 0;
        long broken = 0;
        long tokens = 0;
        for (TrainerRecord record : trainers.records()) {
            delivered += record.samples();
            duplicates += record.duplicates().size();
            stale += record.staleSamples().size();
            broken += record.samplesWithBrokenRanges().size() + record.gaps().size();
            tokens += record.tokens();
        }
        long submitted = trainers.submitted();
        body.put("samplesSubmitted", submitted).put("samplesDelivered", delivered);
        body.put("duplicates", duplicates).put("beyondStaleness", stale);
        body.put("brokenSamples", broken).put("sampleTokens", tokens);
        body.put("weightVersions", trainers.newestVersion());
        body.put("trainerIdleShare", Math.round(trainers.idleShare() * 1_000) / 1_000.0);
        expectNone(duplicates, "samples delivered twice");
        expectNone(stale, "samples beyond the staleness bound");
        expectNone(broken, "samples with broken token ranges, or gaps in positions");
        expectNone(Math.abs(submitted - delivered), "samples submitted but not delivered");
        if (submitted == 0) {
            faults.add("no samples were submitted");
        }
    }

    private void addCalls() {
        body.put("liveCompleted", tally.liveCompleted()).put("liveFailed", tally.liveFailed());
        body.put("plainCompleted", tally.plainCompleted());
        tally.addTo(body);
        body.putObject("firstByteMillis")
                .put("p50", tally.firstByteMillis(MEDIAN))
                .put("p99", tally.firstByteMillis(HIGH));
        body.putObject("totalMillis")
                .put("p50", tally.totalMillis(MEDIAN))
                .put("p99", tally.totalMillis(HIGH));
        if (tally.liveCompleted() == 0 || tally.plainCompleted() == 0) {
            faults.add("no live or no plain answers");
        }
    }

    private void addChecks() {
        List<String> bad = tally.badAnswers();
        body.put("badAnswers", bad.size());
        bad.stream().limit(SHOWN_ANSWERS).forEach(answer -> faults.add("bad answer: " + answer));
        expectNone(Math.max(0, bad.size() - SHOWN_ANSWERS), "more bad answers");
        Set<String> done = tally.bookingsDone();
        long repeated = 0;
        long notRun = 0;
        for (String path : tally.bookings()) {
            int runs = deployment.runsOfPath(path);
            repeated += runs > 1 ? 1 : 0;
            notRun += runs == 0 && done.contains(path) ? 1 : 0;
        }
        body.put("bookings", tally.bookings().size()).put("bookingsRepeated", repeated);
        expectNone(repeated, "bookings that ran twice");
        expectNone(notRun, "bookings that were confirmed but did not run");
        long violations = deployment.invariantViolations();
        body.put("invariantViolations", violations);
        expectNone(violations, "invariant violations");
        expectNone(deployment.keysSeenByUpstreams(), "requests with a key at upstreams");
        expectNone(tally.worksAfterWithdrawal(), "answers to a withdrawn key after 5 s");
    }

    private void expectNone(long count, String what) {
        if (count != 0) {
            faults.add(count + " " + what);
        }
    }
}
