package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.fuchsialever.platform.ManifestText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients outside the operator's control send to an instance with less memory and fewer descriptors
 * than the deploy file allows. The tests check no times and no share of served requests.
 */
class UncontrolledClientsTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    private static final int HEAP_MIB = 48;
    private static final int DIRECT_MIB = 48;
    private static final int METASPACE_MIB = 80;
    private static final int CODE_MIB = 24;

    /** Memory of the machine: all that the options of the process allow it. */
    private static final long MACHINE_BYTES =
            (HEAP_MIB + DIRECT_MIB + METASPACE_MIB + CODE_MIB) * 1_048_576L;

    private static final int MAX_DESCRIPTORS = 600;

    /** Files of the class path are descriptors of the process, too. */
    private static final List<String> LAUNCHER =
            List.of("/bin/sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + "; exec \"$0\" \"$@\"");

    private static final List<String> OPTIONS = List.of("-Xmx" + HEAP_MIB + "m");

    private static final int LEGAL_HEAD_BYTES = 16_000;
    private static final String SHORT_LINE = "a:\r\n";
    private static final String ODD_LINE = "!~:\t\u00ff;=\"\r\n";
    private static final int UNFINISHED_HEADS = 200;
    private static final int FINISHED_HEADS = 150;
    private static final int HEADS_PER_CONNECTION = 8;
    private static final int ENDLESS_CLIENTS = 150;
    private static final int ENDLESS_BYTES = 200_000;
    private static final int READERS_OF_NOTHING = 700;
    private static final int REQUESTS_AHEAD = 200;

    @TempDir Path mDirectory;

    /** Guards against parsed header fields of requests that nobody counts. */
    @Test
    void survivesManyUnfinishedHeadsOfShortLines() throws IOException {
        survives(UNFINISHED_HEADS, lines(requestLine("/safe/x"), SHORT_LINE, LEGAL_HEAD_BYTES));
    }

    /** Guards against fields that are kept, and copied, until the response is written. */
    @Test
    void survivesManyFinishedHeadsOfShortLines() throws IOException {
        survives(FINISHED_HEADS, headsOf(SHORT_LINE).repeat(HEADS_PER_CONNECTION));
    }

    @Test
    void survivesManyFinishedHeadsOfOddLines() throws IOException {
        survives(FINISHED_HEADS, headsOf(ODD_LINE).repeat(HEADS_PER_CONNECTION));
    }

    @Test
    void survivesHeadsWithoutEnd() throws IOException {
        survives(ENDLESS_CLIENTS, lines(requestLine("/safe/x"), SHORT_LINE, ENDLESS_BYTES));
    }

    @Test
    void survivesALineWithoutEnd() throws IOException {
        survives(ENDLESS_CLIENTS, lines(requestLine("/safe/x") + "a:", "b", ENDLESS_BYTES));
    }

    @Test
    void survivesEmptyLinesWithoutEnd() throws IOException {
        survives(ENDLESS_CLIENTS, lines("", "\r\n", ENDLESS_BYTES));
    }

    /** Guards against trailer fields, which are parsed like those of a head. */
    @Test
    void survivesTrailersWithoutEnd() throws IOException {
        String head = requestLine("/safe/x") + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
        survives(ENDLESS_CLIENTS, lines(head, SHORT_LINE, ENDLESS_BYTES));
    }

    /** Guards against requests and responses that wait for clients who read nothing. */
    @Test
    void survivesRequestsSentAheadWhoseResponsesNobodyReads() throws IOException {
        String request = requestLine(DeployedInstance.MEDIUM_RESPONSES) + "\r\n";
        survives(READERS_OF_NOTHING, request.repeat(REQUESTS_AHEAD));
    }

    /** Guards against connections that leave no descriptor for other callers and upstreams. */
    @Test
    void survivesMoreSilentConnectionsThanItHasDescriptors() throws IOException {
        survives(2 * MAX_DESCRIPTORS, "");
    }

    /** Guards against a bound that a request inside the limits of the manifest meets. */
    @Test
    void servesALegalHeadOfManyShortLines() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller caller = new RawCaller(instance)) {
            caller.text(headsOf(SHORT_LINE));
            assertThat(caller.status(), is(200));
        }
    }

    /** Guards against a refusal of what has run, and against one of ordinary callers. */
    @Test
    void refusesAnExpensiveHeadWithoutRoomAndServesOrdinaryOnes() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller first = new RawCaller(instance);
                RawCaller second = new RawCaller(instance);
                RawCaller third = new RawCaller(instance)) {
            first.text(headsOf(DeployedInstance.HELD, "first", SHORT_LINE));
            second.text(headsOf(DeployedInstance.HELD, "second", SHORT_LINE));
            awaitRun(instance, "first");
            awaitRun(instance, "second");
            third.text(headsOf("/safe/x", "third", SHORT_LINE));
            String refusal = third.response();
            assertThat(refusal, containsString(" 503 "));
            assertThat(refusal, containsString("Retry-After: "));
            assertThat(refusal, containsString("Request-Id: third"));
            awaitCall(instance);
            assertThat(instance.bodyBytes("third"), is(-1));
        }
    }

    /** Guards against a process that lives on with an event loop that answers nobody. */
    @Test
    void endsAProcessWhoseHeapRunsOut() throws IOException {
        assertThat(DeployedInstance.memoryOptions(), hasItem("-XX:+ExitOnOutOfMemoryError"));
    }

    private static void awaitRun(DeployedInstance instance, String id) {
        await().atMost(PATIENCE).until(() -> instance.bodyBytes(id) >= 0);
    }

    private void survives(int connections, String text) throws IOException {
        try (DeployedInstance instance = serving();
                Crowd crowd = new Crowd()) {
            crowd.send(instance, connections, text.getBytes(StandardCharsets.ISO_8859_1));
            awaitCall(instance);
            assertThat(instance.isAlive(), is(true));
            assertThat(instance.peakResidentBytes(), is(lessThan(MACHINE_BYTES)));
            assertThat(instance.openDescriptors(), is(lessThan((long) MAX_DESCRIPTORS)));
            assertThat(instance.log(), not(containsString("OutOfMemory")));
        }
    }

    private DeployedInstance serving() throws IOException {
        DeployedInstance instance = new DeployedInstance(mDirectory, LAUNCHER, OPTIONS);
        awaitCall(instance);
        return instance;
    }

    private static void awaitCall(DeployedInstance instance) {
        await().atMost(PATIENCE)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(() -> !instance.isAlive() || isServed(instance));
        assertThat("the process lives", instance.isAlive(), is(true));
    }

    private static boolean isServed(DeployedInstance instance) throws IOException {
        try (RawCaller caller = new RawCaller(instance)) {
            return caller.head("GET", "/safe/x", "probe", 0).status() == 200;
        }
    }

    private static String headsOf(String line) {
        return headsOf("/safe/x", "crowd", line);
    }

    private static String headsOf(String path, String id, String line) {
        return lines(requestLine(path, id), line, LEGAL_HEAD_BYTES - 2) + "\r\n";
    }

    private static String lines(String begin, String line, int bytes) {
        return begin + line.repeat((bytes - begin.length()) / line.length());
    }

    private static String requestLine(String path) {
        return requestLine(path, "crowd");
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
