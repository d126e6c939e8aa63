package org.fuchsialever.decisions.audit;

import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * One object of the audit record. The first line of its text names what the following lines do not
 * say: {@code batch <start> <sequence> <marker> <hash of the batch before> <number of records>}.
 *
 * @param start instance and start identity, joined by a slash
 * @param sequence number of the batch within the start, from 1
 * @param marker its place
 * @param previousHash hash of the batch before, {@link AuditChain#INITIAL_HASH} for the first one
 * @param lines its records
 */
public record AuditBatch(
        String start, long sequence, BatchMarker marker, String previousHash, List<String> lines) {
    private static final String WORD = "batch";
    private static final int FIELDS = 6;

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
        text.append(WORD).append(' ').append(start).append(' ').append(sequence).append(' ');
        text.append(marker.label()).append(' ').append(previousHash).append(' ');
        text.append(lines.size()).append('\n');
        lines.forEach(line -> text.append(line).append('\n'));
        return text.toString();
    }

    /** Returns the bytes that are stored and hashed. */
    public byte[] bytes() {
        return text().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the batch with the given text, or a failure if it has another form. */
    public static Try<AuditBatch> parse(String text) {
        return Try.of(
                () -> {
                    List<String> lines = text.lines().toList();
                    String[] fields = lines.get(0).split(" ");
                    if (fields.length != FIELDS
                            || !fields[0].equals(WORD)
                            || Integer.parseInt(fields[5]) != lines.size() - 1) {
                        throw new IllegalArgumentException("the header does not fit");
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
