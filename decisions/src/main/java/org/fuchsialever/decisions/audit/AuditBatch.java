package org.fuchsialever.decisions.audit;

import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * One object of the audit record. The first line of its text is a header: {@code batch <start>
 * <sequence> <marker> <hash of the previous batch> <number of records>}.
 *
 * @param start instance and start ID, joined by a slash
 * @param sequence number of the batch within the start, from 1
 * @param marker position of the batch within the start
 * @param previousHash hash of the previous batch, {@link AuditChain#INITIAL_HASH} for the first one
 * @param lines encoded records, one per line
 */
public record AuditBatch(
        String start, long sequence, BatchMarker marker, String previousHash, List<String> lines) {
    private static final String HEADER_KEYWORD = "batch";
    private static final int HEADER_FIELD_COUNT = 6;

    /** Copies the lines. */
    public AuditBatch {
        lines = List.copyOf(lines);
    }

    /** Returns the name of the object in which a batch of a day is stored. */
    public static String objectName(String day, String start, long sequence) {
        return "audit/%s/%s/%010d".formatted(day, start, sequence);
    }

    /** Returns the text that is stored and hashed. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(HEADER_KEYWORD)
                .append(' ')
                .append(start)
                .append(' ')
                .append(sequence)
                .append(' ');
        text.append(marker.label()).append(' ').append(previousHash).append(' ');
        text.append(lines.size()).append('\n');
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString();
    }

    /** Returns the bytes that are stored and hashed. */
    public byte[] bytes() {
        return text().getBytes(StandardCharsets.UTF_8);
    }

    /** Parses a batch; returns a failure if the text is malformed. */
    public static Try<AuditBatch> parse(String text) {
        return Try.of(
                () -> {
                    List<String> lines = text.lines().toList();
                    String[] fields = lines.get(0).split(" ");
                    if (fields.length != HEADER_FIELD_COUNT
                            || !fields[0].equals(HEADER_KEYWORD)
                            || Integer.parseInt(fields[5]) != lines.size() - 1) {
                        throw new IllegalArgumentException("the batch header is malformed");
                    }
                    return new AuditBatch(
                            fields[1],
                            Long.parseLong(fields[2]),
                            BatchMarker.valueOf(fields[3].toUpperCase(Locale.ROOT)),
                            fields[4],
                            lines.subList(1, lines.size()));
                });
    }
}
