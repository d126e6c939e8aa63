package org.fuchsialever.decisions.audit;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** Gives the batches of one start their numbers and chains them by SHA-256. */
public final class AuditChain {
    /** Stands for the hash before the first batch. */
    public static final String INITIAL_HASH = "0".repeat(64);

    private final String start;
    private long sequence;
    private String lastHash = INITIAL_HASH;

    /** Creates the chain of a start, which is named by instance and start identity. */
    public AuditChain(String start) {
        this.start = start;
    }

    /** Returns the next batch. */
    public AuditBatch append(List<String> lines, boolean last) {
        sequence++;
        BatchMarker marker = sequence == 1 ? BatchMarker.START : BatchMarker.NONE;
        AuditBatch batch =
                new AuditBatch(start, sequence, last ? BatchMarker.END : marker, lastHash, lines);
        lastHash = hash(batch.bytes());
        return batch;
    }

    /** Returns the hash of the last batch. */
    public String lastHash() {
        return lastHash;
    }

    /** Returns the number of the last batch, 0 if there is none. */
    public long lastSequence() {
        return sequence;
    }

    /** Returns the hash of the content of a batch as 64 hexadecimal digits. */
    public static String hash(byte[] content) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(content);
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** Returns the hash of a text in UTF-8. */
    public static String hash(String text) {
        return hash(text.getBytes(StandardCharsets.UTF_8));
    }
}
