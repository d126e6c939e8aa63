package org.fuchsialever.decisions.audit;

import io.vavr.control.Try;

/**
 * Index row of a start and a day: which batches are stored, and the hash that proves them all.
 *
 * @param firstSequence number of the first batch of the day
 * @param previousHash hash of the batch before it
 * @param lastSequence number of the last batch
 * @param lastHash its hash
 * @param ended whether the last batch has the end marker
 */
public record AuditCheckpoint(
        long firstSequence,
        String previousHash,
        long lastSequence,
        String lastHash,
        boolean ended) {
    private static final int FIELDS = 5;

    /** Returns the text of the row. */
    public String text() {
        return firstSequence
                + " "
                + previousHash
                + " "
                + lastSequence
                + " "
                + lastHash
                + " "
                + ended;
    }

    /** Returns the checkpoint with the given text, or a failure if it has another form. */
    public static Try<AuditCheckpoint> parse(String text) {
        return Try.of(
                () -> {
                    String[] fields = text.split(" ");
                    if (fields.length != FIELDS) {
                        throw new IllegalArgumentException(
                                "a checkpoint has " + FIELDS + " fields");
                    }
                    return new AuditCheckpoint(
                            Long.parseLong(fields[0]),
                            fields[1],
                            Long.parseLong(fields[2]),
                            fields[3],
                            Boolean.parseBoolean(fields[4]));
                });
    }
}
