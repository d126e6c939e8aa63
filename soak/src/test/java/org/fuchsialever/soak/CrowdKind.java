package org.fuchsialever.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.platform.ManifestText;

/** What a crowd of clients outside the operator's control sends. */
enum CrowdKind {
    /** Heads of legal length, of very many short lines, that do not end. */
    UNFINISHED_HEADS(200) {
        @Override
        String text(String path) {
            return lines(requestLine(path, CROWD), SHORT_LINE, LEGAL_HEAD_BYTES);
        }
    },
    /** Requests of legal length, of very many short lines. */
    SHORT_LINES(150) {
        @Override
        String text(String path) {
            return head(path, CROWD, SHORT_LINE).repeat(HEADS_PER_CONNECTION);
        }
    },
    /** Requests of legal length, of very many odd lines. */
    ODD_LINES(150) {
        @Override
        String text(String path) {
            return head(path, CROWD, ODD_LINE).repeat(HEADS_PER_CONNECTION);
        }
    },
    /** Heads of short lines without end. */
    ENDLESS_HEADS(150) {
        @Override
        String text(String path) {
            return lines(requestLine(path, CROWD), SHORT_LINE, ENDLESS_BYTES);
        }
    },
    /** Heads of one line without end. */
    ENDLESS_LINES(150) {
        @Override
        String text(String path) {
            return lines(requestLine(path, CROWD) + "a:", "b", ENDLESS_BYTES);
        }
    },
    /** Empty lines without end before a request. */
    EMPTY_LINES(150) {
        @Override
        String text(String path) {
            return lines("", "\r\n", ENDLESS_BYTES);
        }
    },
    /** Trailers without end. */
    ENDLESS_TRAILERS(150) {
        @Override
        String text(String path) {
            String head = requestLine(path, CROWD) + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
            return lines(head, SHORT_LINE, ENDLESS_BYTES);
        }
    },
    /** Requests that are sent ahead, whose responses nobody reads. */
    SENT_AHEAD(700) {
        @Override
        String text(String path) {
            return (requestLine(path, CROWD) + "\r\n").repeat(REQUESTS_AHEAD);
        }
    },
    /**
     * Very many requests that are sent ahead on a few connections, whose responses nobody reads.
     */
    SENT_AHEAD_ON_FEW_CONNECTIONS(8) {
        @Override
        String text(String path) {
            return (requestLine(path, CROWD) + "\r\n").repeat(REQUESTS_AHEAD_ON_EACH);
        }
    },
    /** Connections on which nothing is sent, more than the process has descriptors. */
    SILENT(2 * CrowdKind.MAX_DESCRIPTORS) {
        @Override
        String text(String path) {
            return "";
        }
    };

    /** Descriptors of the process that the crowds meet. */
    static final int MAX_DESCRIPTORS = 600;

    static final String SHORT_LINE = "a:\r\n";

    private static final String CROWD = "crowd";
    private static final String ODD_LINE = "!~:\t\u00ff;=\"\r\n";
    private static final int LEGAL_HEAD_BYTES = 16_000;
    private static final int HEADS_PER_CONNECTION = 8;
    private static final int ENDLESS_BYTES = 200_000;
    private static final int REQUESTS_AHEAD = 200;
    private static final int REQUESTS_AHEAD_ON_EACH = 20_000;

    private final int mConnections;

    CrowdKind(int connections) {
        mConnections = connections;
    }

    /** Returns what each client sends. */
    abstract String text(String path);

    /**
     * Lets a part of the crowd send to a port.
     *
     * @param path what its requests ask for
     * @param divisor the crowd has this many parts
     */
    void send(Crowd crowd, InstanceUnderTest instance, int port, String path, int divisor)
            throws IOException {
        crowd.send(
                instance,
                port,
                mConnections / divisor,
                text(path).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns a whole head of the longest legal length. */
    static String head(String path, String id, String line) {
        return lines(requestLine(path, id), line, LEGAL_HEAD_BYTES - 2) + "\r\n";
    }

    private static String lines(String begin, String line, int bytes) {
        return begin + line.repeat((bytes - begin.length()) / line.length());
    }

    private static String requestLine(String path, String id) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: "
                + ManifestText.HOST
                + "\r\nRequest-Id: "
                + id
                + "\r\nAuthorization: Bearer "
                + DeployedInstance.KEY
                + "\r\nDeadline-Ms: "
                + DeployedInstance.TIMEOUT_MILLIS
                + "\r\n";
    }
}
