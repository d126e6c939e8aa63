package org.fuchsialever.decisions.config;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Route table and pool table of one version. They are encoded as one text with a digest, which is
 * the content of an immutable snapshot row.
 *
 * @param version the version, at least 1
 * @param routes the text of the route table
 * @param pools the text of the pool table
 */
public record SnapshotText(long version, String routes, String pools) {
    private static final Pattern HEADER =
            Pattern.compile("version (\\d{1,18}) routes (\\d{1,9}) sha256 ([0-9a-f]{64})\n");

    /** Returns the text of a snapshot row. */
    public String encode() {
        return "version %d routes %d sha256 %s\n".formatted(version, routes.length(), digest())
                + routes
                + pools;
    }

    /** Returns the digest of the version and both tables, in hexadecimal digits. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            String header = version + " " + routes.length() + "\n";
            sha.update(header.getBytes(StandardCharsets.UTF_8));
            sha.update(routes.getBytes(StandardCharsets.UTF_8));
            sha.update(pools.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the tables of a snapshot row, or a description of the damage. */
    public static Either<String, SnapshotText> decode(String text) {
        Matcher header = HEADER.matcher(text);
        if (!header.lookingAt()) {
            return Either.left("the header is damaged");
        }
        String body = text.substring(header.end());
        int routesLength = Integer.parseInt(header.group(2));
        if (routesLength > body.length()) {
            return Either.left("the text is truncated");
        }
        return Try.of(() -> Long.parseLong(header.group(1)))
                .toEither("the version is damaged")
                .map(
                        version ->
                                new SnapshotText(
                                        version,
                                        body.substring(0, routesLength),
                                        body.substring(routesLength)))
                .filterOrElse(
                        tables -> tables.digest().equals(header.group(3)),
                        tables -> "the digest does not match");
    }
}
