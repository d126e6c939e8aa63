package org.fuchsialever.decisions.audit;

import io.vavr.control.Try;

/**
 * Index row of a start and a day: the range of stored batches, and the hash that covers them.
 *
 * @param firstSequence sequence number of the first batch of the day
 * @param previousHash hash of the batch before the first one
 * @param lastSequence sequence number of the last batch
 * @param lastHash hash of the last batch
 * @param ended whether the last batch has the end marker
 */
public record AuditCheckpoint(
        long firstSequence,
        String previousHash,
        long lastSequence,
        String lastHash,
        boolean ended) {
    private static final int FIELD_COUNT = 5;

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

    /** Parses a checkpoint; returns a failure if the text is malformed. */
    public static Try<AuditCheckpoint> parse(String text) {
        return Try.of(
                () -> {
                    String[] fields = text.split(" ");
                    if (fields.length != FIELD_COUNT) {
                        throw new IllegalArgumentException(
                                "a checkpoint has " + FIELD_COUNT + " fields");
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
