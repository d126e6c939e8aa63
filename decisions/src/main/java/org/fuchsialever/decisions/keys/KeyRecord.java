package org.fuchsialever.decisions.keys;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;

/**
 * A key as it is stored, without its secret.
 *
 * @param team team that is charged
 * @param hash salted hash of the secret
 * @param expiresMillis wall-clock time of expiry in milliseconds since the epoch, 0 for never
 * @param withdrawn whether the key was withdrawn; never undone
 */
public record KeyRecord(
        KeyId id, TeamName team, KeyHash hash, long expiresMillis, boolean withdrawn) {
    private static final TeamName NO_TEAM = new TeamName("none");
    private static final KeyHash NO_HASH = new KeyHash("", "");

    /** Returns the record of a withdrawn key of which only the ID is known. */
    public static KeyRecord tombstone(KeyId id) {
        return new KeyRecord(id, NO_TEAM, NO_HASH, 0, true);
    }

    /** Returns this key marked as withdrawn. */
    public KeyRecord asWithdrawn() {
        return new KeyRecord(id, team, hash, expiresMillis, true);
    }

    /** Returns the content of the row of this key. */
    public String encode() {
        return "team=%s\nsalt=%s\nhash=%s\nexpires=%d\nwithdrawn=%s\n"
                .formatted(team, hash.salt(), hash.hash(), expiresMillis, withdrawn ? "yes" : "no");
    }

    /** Returns the key of a row, or a description of the damage. */
    public static Either<String, KeyRecord> decode(String id, String value) {
        Map<String, String> fields = new TreeMap<>();
        for (String line : value.lines().toList()) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                fields.put(line.substring(0, separator), line.substring(separator + 1));
            }
        }
        return Try.of(
                        () ->
                                new KeyRecord(
                                        new KeyId(id),
                                        new TeamName(field(fields, "team")),
                                        new KeyHash(field(fields, "salt"), field(fields, "hash")),
                                        Long.parseLong(field(fields, "expires")),
                                        withdrawn(field(fields, "withdrawn"))))
                .toEither()
                .mapLeft(failure -> "the row is damaged: " + failure.getMessage());
    }

    private static boolean withdrawn(String text) {
        if (!text.equals("yes") && !text.equals("no")) {
            throw new IllegalArgumentException("field withdrawn is neither yes nor no");
        }
        return text.equals("yes");
    }

    private static String field(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("field " + name + " is missing");
        }
        return value;
    }
}
