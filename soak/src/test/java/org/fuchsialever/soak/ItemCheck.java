package org.fuchsialever.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.platform.SentAnswer;
import org.fuchsialever.platform.UpstreamStandIn;

/** Compares the listed results of a submission with what upstreams sent for its items. */
final class ItemCheck {
    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int REJECTION = 422;

    /** Of the rollout route in the manifest. */
    private static final int MOST_ATTEMPTS = 3;

    /** Of the scoring route in the manifest. */
    private static final int MOST_SCORING_ATTEMPTS = 4;

    /** Of the rollout route in the manifest. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final Evidence mEvidence;
    private final SoakRecord.Submission mSubmission;
    private final List<String> mFindings;

    ItemCheck(Evidence evidence, SoakRecord.Submission submission, List<String> findings) {
        mEvidence = evidence;
        mSubmission = submission;
        mFindings = findings;
    }

    void run() {
        SoakRecord record = mEvidence.record();
        boolean ended = record.isEnded(mSubmission.id());
        List<JsonNode> results = record.listedResults(mSubmission.id());
        Set<String> listed = new HashSet<>();
        for (JsonNode result : results) {
            String item = result.path("id").asText();
            Optional<String> fault =
                    !listed.add(item) || !mSubmission.items().contains(item)
                            ? Optional.of("twice or unasked")
                            : result.path("state").asText().equals("completed")
                                    ? faultOfText(item, result)
                                    : faultOfError(item, ended);
            fault.ifPresent(
                    text -> mFindings.add(mSubmission.id() + " lists " + text + ": " + result));
        }
        if (!ended && results.size() != mSubmission.items().size()) {
            mFindings.add(mSubmission.id() + " lists " + results.size() + " items");
        }
    }

    private Optional<String> faultOfText(String item, JsonNode result) {
        String[] texts = result.path("message").asText().split("\n", -1);
        if (texts.length != UpstreamStandIn.EVENT_COUNT) {
            return Optional.of("a text that is not whole");
        }
        Set<Long> versions = new TreeSet<>();
        long lastMadeNanos = 0;
        for (int number = 1; number <= texts.length; number++) {
            Optional<SentAnswer.Event> event = event(item, number, texts[number - 1]);
            if (event.isEmpty()) {
                return Optional.of("an event " + number + " that no upstream sent");
            }
            versions.add(event.get().version());
            lastMadeNanos = event.get().madeNanos();
        }
        Set<Long> told = new TreeSet<>();
        result.path("versions").forEach(version -> told.add(version.asLong()));
        if (!told.equals(versions)) {
            return Optional.of("other versions than " + versions);
        }
        if (told.iterator().next() < mSubmission.minVersion()) {
            return Optional.of("a text older than version " + mSubmission.minVersion());
        }
        return isScoredAfter(item, result.path("score").asText(), lastMadeNanos)
                ? Optional.empty()
                : Optional.of("a score that was not given to this text");
    }

    private Optional<SentAnswer.Event> event(String item, int number, String text) {
        return mEvidence.sent(item).stream()
                .flatMap(answer -> answer.events().stream())
                .filter(event -> event.number() == number && event.data().equals(text))
                .findFirst();
    }

    private boolean isScoredAfter(String item, String score, long nanos) {
        return mEvidence.sent("s-" + item).stream()
                .anyMatch(
                        answer ->
                                answer.status() == OK
                                        && answer.isWhole()
                                        && answer.stamp().equals(score)
                                        && answer.arrivedNanos() >= nanos);
    }

    private Optional<String> faultOfError(String item, boolean ended) {
        boolean late =
                mEvidence.record().firstListedNanos(mSubmission.id(), item)
                                - mSubmission.sentNanos()
                        >= MAX_WAIT_NANOS;
        boolean allowed =
                ended
                        || late
                        || count(item, REJECTION) > 0
                        || count(item, FAILURE) >= MOST_ATTEMPTS
                        || count("s-" + item, FAILURE) >= MOST_SCORING_ATTEMPTS;
        return allowed ? Optional.empty() : Optional.of("an error without a reason");
    }

    private long count(String id, int status) {
        return mEvidence.sent(id).stream().filter(answer -> answer.status() == status).count();
    }
}
