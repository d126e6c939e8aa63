package org.fuchsialever.decisions.audit;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** Numbers the batches of one start and chains them by SHA-256 hashes. */
public final class AuditChain {
    /** Value that stands for the previous hash in the first batch. */
    public static final String INITIAL_HASH = "0".repeat(64);

    private final String mStart;
    private long mSequence;
    private String mLastHash = INITIAL_HASH;

    /** Creates the chain of a start, which is named by instance and start ID. */
    public AuditChain(String start) {
        mStart = start;
    }

    /** Appends a batch with the given records and returns it. */
    public AuditBatch append(List<String> lines, boolean last) {
        mSequence++;
        BatchMarker marker = mSequence == 1 ? BatchMarker.START : BatchMarker.NONE;
        AuditBatch batch =
                new AuditBatch(
                        mStart, mSequence, last ? BatchMarker.END : marker, mLastHash, lines);
        mLastHash = hash(batch.bytes());
        return batch;
    }

    /** Returns the hash of the last batch. */
    public String lastHash() {
        return mLastHash;
    }

    /** Returns the number of the last batch, 0 if there is none. */
    public long lastSequence() {
        return mSequence;
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
