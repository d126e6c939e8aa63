package org.fuchsialever.decisions.keys;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Salted hash of a secret. A fast hash suffices because secrets are 256 random bits, which cannot
 * be guessed; a slow one would add to the cost of every request.
 *
 * @param salt the salt in hexadecimal digits
 * @param hash the hash in hexadecimal digits
 */
public record KeyHash(String salt, String hash) {

    /** Hashes a secret. */
    public static KeyHash of(String salt, String secret) {
        return new KeyHash(salt, digest(salt, secret));
    }

    /** Returns whether a secret has this hash; compares in constant time. */
    public boolean matches(String secret) {
        return MessageDigest.isEqual(
                hash.getBytes(StandardCharsets.UTF_8),
                digest(salt, secret).getBytes(StandardCharsets.UTF_8));
    }

    private static String digest(String salt, String secret) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(salt.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            sha.update(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
