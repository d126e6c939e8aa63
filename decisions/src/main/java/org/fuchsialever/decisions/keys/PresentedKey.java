package org.fuchsialever.decisions.keys;

import io.vavr.control.Option;
import java.util.regex.Pattern;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.Names;

/**
 * A key as presented by a caller, {@code fl_<key id>_<secret>}.
 *
 * @param id public part
 * @param secret the secret part, hexadecimal digits
 */
public record PresentedKey(KeyId id, String secret) {
    private static final String PREFIX = "fl_";
    private static final Pattern SECRET = Pattern.compile("[0-9a-f]{32,128}");

    /** Parses a key; returns none if the text is malformed. */
    public static Option<PresentedKey> parse(String text) {
        // The secret contains no underscore, but the key ID may.
        int separator = text.lastIndexOf('_');
        if (!text.startsWith(PREFIX) || separator <= PREFIX.length()) {
            return Option.none();
        }
        String id = text.substring(PREFIX.length(), separator);
        String secret = text.substring(separator + 1);
        if (!Names.isValid(id) || !SECRET.matcher(secret).matches()) {
            return Option.none();
        }
        return Option.some(new PresentedKey(new KeyId(id), secret));
    }

    /** Returns the key with its secret, which must be disclosed to its owner only. */
    public String text() {
        return PREFIX + id + "_" + secret;
    }

    /** Returns the public part only, so that no secret is logged. */
    @Override
    public String toString() {
        return PREFIX + id + "_...";
    }
}
