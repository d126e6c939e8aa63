package org.fuchsialever.frontend;

import io.vavr.control.Option;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The secret that a caller presented, kept only to check that it is not forwarded. {@link
 * #toString} does not reveal the secret.
 */
public final class PresentedSecret {
    /** Issued secrets are at least as long; shorter texts would occur in requests by chance. */
    private static final int MIN_LENGTH = 8;

    private static final String SCHEME = "bearer ";
    private static final String KEY_PREFIX = "fl_";
    private static final PresentedSecret NONE = new PresentedSecret(List.of());

    private final List<String> mSecrets;

    private PresentedSecret(List<String> secrets) {
        mSecrets = secrets;
    }

    /** Returns the value for requests without a secret. */
    public static PresentedSecret none() {
        return NONE;
    }

    /** Returns the secret part of an {@code Authorization} header, if there is one. */
    public static PresentedSecret of(Option<String> authorization) {
        String token = authorization.getOrElse("").strip();
        if (token.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            token = token.substring(SCHEME.length()).strip();
        }
        List<String> candidates = new ArrayList<>();
        candidates.add(token);
        if (token.startsWith(KEY_PREFIX)) {
            // Names and secrets may contain underscores, so both ways to split are searched for.
            candidates.add(token.substring(token.indexOf('_', KEY_PREFIX.length()) + 1));
            candidates.add(token.substring(token.lastIndexOf('_') + 1));
        }
        List<String> secrets =
                candidates.stream().filter(text -> text.length() >= MIN_LENGTH).toList();
        return secrets.isEmpty() ? NONE : new PresentedSecret(secrets);
    }

    /** Returns whether a text contains the secret, as it is or percent-encoded. */
    public boolean occursIn(String text) {
        if (mSecrets.isEmpty()) {
            return false;
        }
        String decoded = decoded(text);
        return mSecrets.stream().anyMatch(s -> text.contains(s) || decoded.contains(s));
    }

    /** Returns whether bytes contain the secret in UTF-8. */
    public boolean occursIn(byte[] bytes) {
        if (mSecrets.isEmpty()) {
            return false;
        }
        // ISO 8859-1 maps each byte to one character, so that any content can be searched.
        String content = new String(bytes, StandardCharsets.ISO_8859_1);
        return mSecrets.stream()
                .map(s -> s.getBytes(StandardCharsets.UTF_8))
                .anyMatch(s -> content.contains(new String(s, StandardCharsets.ISO_8859_1)));
    }

    /** Returns whether a request contains the secret in its URI, header fields or body. */
    public boolean occursIn(String uri, List<HeaderField> headers, byte[] body) {
        return occursIn(uri)
                || occursIn(body)
                || headers.stream().anyMatch(field -> occursIn(field.value()));
    }

    @Override
    public String toString() {
        return mSecrets.isEmpty() ? "no secret" : "a secret";
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }
}
