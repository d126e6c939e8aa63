package org.fuchsialever.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.platform.InstanceSettings;
import org.fuchsialever.platform.UpstreamStandIn;

/** A promise to callers and upstreams, with the check that it was kept. */
enum Promise {
    /** A success is the whole answer of an upstream to this call. */
    ANSWERS_ARE_GENUINE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            for (SoakRecord.LiveCall call : evidence.record().liveCalls()) {
                boolean genuine =
                        call.body().equals("body of " + call.id())
                                && call.stamp().equals("stamp-" + call.id());
                if (call.status() == OK && !genuine) {
                    findings.add(call + " is not the answer of an upstream");
                }
            }
        }
    },
    /** An unsafe call runs once at most. */
    UNSAFE_CALLS_RUN_ONCE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            evidence.runs()
                    .forEach(
                            (id, runs) -> {
                                if (id.startsWith("unsafe-") && runs > 1) {
                                    findings.add(id + " ran " + runs + " times");
                                }
                            });
        }
    },
    /** A refusal that says that a call has not run is true. */
    REFUSED_CALLS_HAVE_NOT_RUN {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<String, Integer> runs = evidence.runs();
            for (SoakRecord.LiveCall call : evidence.record().liveCalls()) {
                if (!call.safe()
                        && NOT_RUN.contains(call.status())
                        && runs.containsKey(call.id())) {
                    findings.add(call + " has run");
                }
            }
        }
    },
    /** No proper call is answered as if it were not allowed. */
    PROPER_CALLS_ARE_NOT_DENIED {
        @Override
        void check(Evidence evidence, List<String> findings) {
            for (SoakRecord.LiveCall call : evidence.record().liveCalls()) {
                if (call.status() >= 300 && call.status() < 500 && call.status() != 408) {
                    findings.add(call + " was denied");
                }
            }
        }
    },
    /** A call reaches no more upstreams than its route allows. */
    ATTEMPTS_STAY_WITHIN_THE_ROUTE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            evidence.runs()
                    .forEach(
                            (id, runs) -> {
                                if (id.startsWith("safe-") && runs > MOST_ATTEMPTS) {
                                    findings.add(id + " ran " + runs + " times");
                                }
                            });
        }
    },
    /** An upstream sees only what callers asked for, for their team and without their key. */
    UPSTREAMS_SEE_WHAT_WAS_ASKED {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Set<String> asked = evidence.record().asked();
            for (UpstreamStandIn.ReceivedCall call : evidence.upstreamCalls()) {
                boolean scoring = call.requestId().startsWith("s-");
                String team = call.headers().getOrDefault("Tenant", "");
                if (!asked.contains(call.requestId())
                        || call.headers().containsKey("Authorization")
                        || !scoring && !team.equals(SoakWorld.TEAM)) {
                    findings.add("an upstream got " + call);
                }
            }
        }
    },
    /** Nothing runs of a submission that was refused each time. */
    REFUSED_SUBMISSIONS_DO_NOT_RUN {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<String, Integer> runs = evidence.runs();
            for (SoakRecord.Submission submission : evidence.record().submissions()) {
                for (String item : submission.items()) {
                    if (submission.refused() && runs.containsKey(item)) {
                        findings.add(item + " has run although its submission was refused");
                    }
                }
            }
        }
    },
    /** Each item of an accepted submission is listed once, with its whole text and its score. */
    ACCEPTED_SUBMISSIONS_ARE_LISTED_WHOLE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            for (SoakRecord.Submission submission : evidence.record().submissions()) {
                if (submission.accepted()) {
                    checkListed(evidence.record(), submission, findings);
                }
            }
        }
    },
    /** A process that is told to stop ends within the time that the platform allows. */
    PROCESSES_END_IN_TIME {
        @Override
        void check(Evidence evidence, List<String> findings) {
            for (SoakRecord.Exit exit : evidence.record().exits()) {
                if (exit.calm() && exit.tookNanos() > GRACE_NANOS) {
                    findings.add(exit + " took too long");
                }
            }
        }
    },
    /** A call that a stopping instance has passed on is answered. */
    STOPPING_INSTANCES_ANSWER_WHAT_RUNS {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<String, Integer> runs = evidence.runs();
            for (SoakRecord.Termination stop : evidence.record().terminations()) {
                for (SoakRecord.LiveCall call : evidence.record().liveCalls()) {
                    boolean crosses =
                            call.instance().equals(stop.instance())
                                    && call.sentNanos() < stop.atNanos() + GRACE_NANOS
                                    && call.endedNanos() > stop.atNanos();
                    boolean calm =
                            evidence.record()
                                    .isCalm(
                                            call.sentNanos() - CONTACT_NANOS,
                                            call.endedNanos() + CONTACT_NANOS);
                    if (crosses && calm && call.status() == 0 && runs.containsKey(call.id())) {
                        findings.add(call + " was cut by " + stop);
                    }
                }
            }
        }
    },
    /**
     * An upstream that is leaving gets no call that was sent after its time, from one that knew.
     */
    LEAVING_UPSTREAMS_GET_NO_LATE_CALLS {
        @Override
        void check(Evidence evidence, List<String> findings) {
            SoakRecord record = evidence.record();
            for (SoakRecord.LiveCall notice : record.liveCalls()) {
                if (notice.leavingUpstream().isEmpty()) {
                    continue;
                }
                long end = notice.endedNanos() + InstanceSettings.LEAVING_PERIOD.toNanos();
                for (SoakRecord.LiveCall call : record.liveCalls()) {
                    boolean late =
                            call.instance().equals(notice.instance())
                                    && call.sentNanos() > end
                                    && evidence.receivers()
                                            .getOrDefault(call.id(), Set.of())
                                            .contains(notice.leavingUpstream());
                    if (late
                            && record.ranThrough(
                                    call.instance(), notice.sentNanos(), call.endedNanos())) {
                        findings.add(call + " came after " + notice);
                    }
                }
            }
        }
    },
    /** Two holders never order an upstream under the same number. */
    ORDERS_HAVE_ONE_HOLDER {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<Long, String> holders = new HashMap<>();
            for (UpstreamStandIn.AcceptedOrder order : evidence.orders()) {
                String other = holders.putIfAbsent(order.fencing(), order.holder());
                if (other != null && !other.equals(order.holder())) {
                    findings.add(order + " bears the number of " + other);
                }
            }
        }
    },
    /** All reports of a window have the same counts. */
    USAGE_IS_REPORTED_ONCE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<String, String> reports = new TreeMap<>();
            for (String report : evidence.usageReports()) {
                JsonNode window = Trainer.json(report);
                String counts = window.path("counts").toString();
                String before = reports.putIfAbsent(window.path("window").toString(), counts);
                if (before != null && !before.equals(counts)) {
                    findings.add(report + " differs from " + before);
                }
            }
        }
    };

    private static final int OK = 200;
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    /** Of the safe route in the manifest. */
    private static final int MOST_ATTEMPTS = 2;

    /** The platform ends a process that has not ended this long after SIGTERM. */
    private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** An instance counts as undisturbed this long after a disturbance. */
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Adds a finding for each time that the promise was broken. */
    abstract void check(Evidence evidence, List<String> findings);

    /** Returns all findings, each with the promise that was broken. */
    static List<String> checkAll(Evidence evidence) {
        List<String> all = new ArrayList<>();
        for (Promise promise : values()) {
            List<String> findings = new ArrayList<>();
            promise.check(evidence, findings);
            findings.forEach(finding -> all.add(promise + ": " + finding));
        }
        evidence.record().violations().forEach(text -> all.add("RESULTS_STAY: " + text));
        return all;
    }

    private static void checkListed(
            SoakRecord record, SoakRecord.Submission submission, List<String> findings) {
        List<JsonNode> results = record.listedResults(submission.id());
        Set<String> items = new HashSet<>();
        for (JsonNode result : results) {
            String item = result.path("id").asText();
            boolean whole =
                    result.path("state").asText().equals("completed")
                            && result.path("message").asText().equals(UpstreamStandIn.text(item))
                            && result.path("score").asText().equals("stamp-s-" + item)
                            && result.path("versions").size() > 0;
            if (!whole || !items.add(item) || !submission.items().contains(item)) {
                findings.add(submission.id() + " lists " + result);
            }
        }
        if (results.size() != submission.items().size()) {
            findings.add(submission.id() + " lists " + results.size() + " items");
        }
    }
}
