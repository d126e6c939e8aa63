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

    private final ObjectNode mBody = new ObjectMapper().createObjectNode();
    private final List<String> mFaults = new ArrayList<>();
    private final DemoDeployment mDeployment;
    private final CallTally mTally;

    /** Takes the figures of a run whose work has ended. */
    DemoReport(
            DemoDeployment deployment,
            CallTally tally,
            DemoTrainers trainers,
            List<String> problems) {
        mDeployment = deployment;
        mTally = tally;
        mFaults.addAll(problems);
        addSamples(trainers);
        addCalls();
        addChecks();
        mFaults.forEach(mBody.putArray("faults")::add);
    }

    /** Returns the figures as one JSON object. */
    ObjectNode json() {
        return mBody;
    }

    /** Returns what did not hold. */
    List<String> faults() {
        return List.copyOf(mFaults);
    }

    void print(PrintStream out) {
        mBody.properties()
                .forEach(
                        entry ->
                                out.printf(
                                        Locale.ROOT,
                                        "%-24s %s%n",
                                        entry.getKey(),
                                        entry.getValue()));
        out.println(mFaults.isEmpty() ? "Everything held." : mFaults.size() + " faults.");
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
        mBody.put("samplesSubmitted", submitted).put("samplesDelivered", delivered);
        mBody.put("duplicates", duplicates).put("beyondStaleness", stale);
        mBody.put("brokenSamples", broken).put("sampleTokens", tokens);
        mBody.put("weightVersions", trainers.newestVersion());
        mBody.put("trainerIdleShare", Math.round(trainers.idleShare() * 1_000) / 1_000.0);
        expectNone(duplicates, "samples delivered twice");
        expectNone(stale, "samples beyond the staleness bound");
        expectNone(broken, "samples with broken token ranges, or gaps in positions");
        expectNone(Math.abs(submitted - delivered), "samples submitted but not delivered");
        if (submitted == 0) {
            mFaults.add("no samples were submitted");
        }
    }

    private void addCalls() {
        mBody.put("liveCompleted", mTally.liveCompleted()).put("liveFailed", mTally.liveFailed());
        mBody.put("plainCompleted", mTally.plainCompleted());
        mTally.addTo(mBody);
        mBody.putObject("firstByteMillis")
                .put("p50", mTally.firstByteMillis(MEDIAN))
                .put("p99", mTally.firstByteMillis(HIGH));
        mBody.putObject("totalMillis")
                .put("p50", mTally.totalMillis(MEDIAN))
                .put("p99", mTally.totalMillis(HIGH));
        if (mTally.liveCompleted() == 0 || mTally.plainCompleted() == 0) {
            mFaults.add("no live or no plain answers");
        }
    }

    private void addChecks() {
        List<String> bad = mTally.badAnswers();
        mBody.put("badAnswers", bad.size());
        bad.stream().limit(SHOWN_ANSWERS).forEach(answer -> mFaults.add("bad answer: " + answer));
        expectNone(Math.max(0, bad.size() - SHOWN_ANSWERS), "more bad answers");
        Set<String> done = mTally.bookingsDone();
        long repeated = 0;
        long notRun = 0;
        for (String path : mTally.bookings()) {
            int runs = mDeployment.runsOfPath(path);
            repeated += runs > 1 ? 1 : 0;
            notRun += runs == 0 && done.contains(path) ? 1 : 0;
        }
        mBody.put("bookings", mTally.bookings().size()).put("bookingsRepeated", repeated);
        expectNone(repeated, "bookings that ran twice");
        expectNone(notRun, "bookings that were confirmed but did not run");
        long violations = mDeployment.invariantViolations();
        mBody.put("invariantViolations", violations);
        expectNone(violations, "invariant violations");
        expectNone(mDeployment.keysSeenByUpstreams(), "requests with a key at upstreams");
        expectNone(mTally.worksAfterWithdrawal(), "answers to a withdrawn key after 5 s");
    }

    private void expectNone(long count, String what) {
        if (count != 0) {
            mFaults.add(count + " " + what);
        }
    }
}
