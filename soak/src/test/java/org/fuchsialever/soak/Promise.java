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
import org.fuchsialever.platform.SentAnswer;
import org.fuchsialever.platform.UpstreamStandIn;

/** A promise to callers and upstreams, with the check that it was kept. */
enum Promise {
    /** What bears a signature is, byte for byte, the whole answer of an upstream to this call. */
    ANSWERS_ARE_GENUINE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            for (SoakRecord.LiveCall call : evidence.record().liveCalls()) {
                boolean signed = call.status() == OK || !call.stamp().isEmpty();
                boolean genuine =
                        evidence.sent(call.id()).stream()
                                .anyMatch(answer -> isAnswer(call, answer, evidence));
                if (signed && !genuine) {
                    findings.add(call + " is not the answer of an upstream");
                }
            }
        }
    },
    /** Nothing is sent to upstreams for a call that has been answered. */
    ANSWERED_CALLS_ARE_OVER {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<String, SoakRecord.LiveCall> answered = new HashMap<>();
            evidence.record().liveCalls().stream()
                    .filter(call -> call.status() != 0)
                    .forEach(call -> answered.put(call.id(), call));
            for (UpstreamStandIn.ReceivedCall late : evidence.upstreamCalls()) {
                SoakRecord.LiveCall call = answered.get(late.requestId());
                if (call != null && late.arrivedNanos() > call.endedNanos() + LINK_NANOS) {
                    findings.add(call + " was sent again after its answer");
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
                                boolean once =
                                        LiveRoute.UNSAFE.carries(id)
                                                || LiveRoute.STREAM.carries(id);
                                if (once && runs > 1) {
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
                if (!call.route().isRepeatable()
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
                                boolean live =
                                        LiveRoute.SAFE.carries(id)
                                                || LiveRoute.RESUMABLE.carries(id);
                                if (live && runs > MOST_ATTEMPTS) {
                                    findings.add(id + " ran " + runs + " times");
                                }
                            });
        }
    },
    /** An upstream sees only what callers asked for, for their team and without their key. */
    UPSTREAMS_SEE_WHAT_WAS_ASKED {
        @Override
        void check(Evidence evidence, List<String> findings) {
            Map<String, String> asked = evidence.record().asked();
            for (UpstreamStandIn.ReceivedCall call : evidence.upstreamCalls()) {
                boolean scoring = call.requestId().startsWith("s-");
                String team = call.headers().getOrDefault("Tenant", "");
                if (!call.body().equals(asked.get(call.requestId()))
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
            Set<String> submittedElsewhere = new HashSet<>();
            for (SoakRecord.Submission submission : evidence.record().submissions()) {
                if (!submission.refused()) {
                    submittedElsewhere.addAll(submission.items());
                }
            }
            for (SoakRecord.Submission submission : evidence.record().submissions()) {
                for (String item : submission.items()) {
                    if (submission.refused()
                            && runs.containsKey(item)
                            && !submittedElsewhere.contains(item)) {
                        findings.add(item + " has run although its submission was refused");
                    }
                }
            }
        }
    },
    /**
     * Each item of an accepted submission is listed once, with the whole text that upstreams made,
     * its versions and the score of this text, or errored for one of the reasons that allow it.
     */
    ACCEPTED_SUBMISSIONS_ARE_LISTED_WHOLE {
        @Override
        void check(Evidence evidence, List<String> findings) {
            for (SoakRecord.Submission submission : evidence.record().submissions()) {
                if (submission.accepted()) {
                    new ItemCheck(evidence, submission, findings).run();
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

    /** A request that was under way when its call was answered has arrived after the time limit. */
    private static final long LINK_NANOS = TimeUnit.SECONDS.toNanos(3);

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

    private static boolean isAnswer(
            SoakRecord.LiveCall call, SentAnswer answer, Evidence evidence) {
        if (answer.status() != call.status() || !answer.stamp().equals(call.stamp())) {
            return false;
        }
        return call.route() == LiveRoute.RESUMABLE && call.status() == OK
                ? isJoined(call.body(), 1, answer, evidence.sent(call.id()))
                : answer.isWhole() && answer.body().equals(call.body());
    }

    /**
     * Returns whether a stream consists of the events of runs from a number on, whole and joined.
     */
    private static boolean isJoined(
            String stream, int number, SentAnswer first, List<SentAnswer> runs) {
        if (number > UpstreamStandIn.EVENT_COUNT) {
            return stream.isEmpty() && runs.stream().anyMatch(SentAnswer::isWhole);
        }
        List<SentAnswer> candidates = number == 1 ? List.of(first) : runs;
        return candidates.stream()
                .flatMap(run -> run.events().stream())
                .filter(event -> event.number() == number && stream.startsWith(event.raw()))
                .anyMatch(
                        event ->
                                isJoined(
                                        stream.substring(event.raw().length()),
                                        number + 1,
                                        first,
                                        runs));
    }
}
