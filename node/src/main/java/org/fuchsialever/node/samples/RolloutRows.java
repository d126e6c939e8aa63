package org.fuchsialever.node.samples;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.BatchRecord;
import org.fuchsialever.decisions.samples.HeadCommit;
import org.fuchsialever.decisions.samples.JudgedSample;
import org.fuchsialever.decisions.samples.LogHead;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.services.Commit;

/** Rows and objects of rollouts: their keys and their JSON form. */
final class RolloutRows {
    static final String DELIVERIES = "deliveries";
    static final String GROUPS = "groups";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RolloutRows() {}

    static String role(TrainerName trainer) {
        return "trainer/" + trainer;
    }

    static String cursorKey(TrainerName trainer) {
        return "cursor/" + trainer;
    }

    static String batchKey(TrainerName trainer, long number) {
        return "batch/" + trainer + "/" + number;
    }

    static String stepKey(TrainerName trainer, long step) {
        return trainer + "/" + step;
    }

    /** Returns the submission with an object name that contains the digest of its content. */
    static Submission named(Submission submission) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256").digest(write(submission.withObject("")));
            return submission.withObject(
                    "groups/"
                            + submission.trainer()
                            + "/"
                            + submission.step()
                            + "-"
                            + HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the commit with the conditions and rows of the table service. */
    static Commit encode(
            TrainerName trainer,
            HeadCommit commit,
            HeldLease lease,
            String holder,
            String team,
            long wallMillis) {
        List<Commit.Condition> conditions = new ArrayList<>();
        List<Commit.Put> puts = new ArrayList<>();
        List<Commit.Delete> deletes = new ArrayList<>();
        conditions.add(
                new Commit.Condition(lease.guardTable(), lease.guardKey(), lease.guardVersion()));
        conditions.add(
                new Commit.Condition(DELIVERIES, cursorKey(trainer), commit.expectedHeadVersion()));
        puts.add(
                new Commit.Put(
                        DELIVERIES,
                        cursorKey(trainer),
                        text(new HeadRow(commit.head(), holder, team))));
        for (BatchRecord batch : commit.batches()) {
            puts.add(new Commit.Put(DELIVERIES, batchKey(trainer, batch.number()), text(batch)));
        }
        commit.submission()
                .forEach(
                        added -> {
                            String key = stepKey(trainer, added.step());
                            conditions.add(new Commit.Condition(GROUPS, key, 0));
                            puts.add(
                                    new Commit.Put(
                                            GROUPS,
                                            key,
                                            text(new StepRow(added.object(), wallMillis))));
                        });
        for (long number = commit.firstDeleted(); number < commit.endDeleted(); number++) {
            deletes.add(new Commit.Delete(DELIVERIES, batchKey(trainer, number)));
        }
        return new Commit(commit.writer(), conditions, puts, deletes);
    }

    static byte[] write(Object value) {
        return text(value).getBytes(StandardCharsets.UTF_8);
    }

    static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a stored " + type.getSimpleName() + " is damaged", e);
        }
    }

    static Submission readSubmission(byte[] content) {
        return read(new String(content, StandardCharsets.UTF_8), Submission.class);
    }

    static List<JudgedSample> readSamples(byte[] content) {
        try {
            return MAPPER.readValue(content, new TypeReference<List<JudgedSample>>() {});
        } catch (IOException e) {
            throw new IllegalStateException("stored samples are damaged", e);
        }
    }

    private static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot be written as JSON", e);
        }
    }

    /**
     * Content of row {@code cursor/<trainer>}.
     *
     * @param head the state of the delivery
     * @param holder {@code host:port} of the instance that wrote it, to which others forward
     * @param team the team that the trainer belongs to
     */
    record HeadRow(LogHead head, String holder, String team) {}

    /**
     * Content of row {@code <trainer>/<step>} in table {@code groups}.
     *
     * @param object name of the stored submission
     * @param acceptedMillis wall-clock time of its acceptance, in milliseconds since the epoch
     */
    record StepRow(String object, long acceptedMillis) {}
}
