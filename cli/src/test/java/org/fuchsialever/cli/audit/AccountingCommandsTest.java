package org.fuchsialever.cli.audit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.decisions.audit.AuditBatch;
import org.fuchsialever.decisions.audit.AuditChain;
import org.fuchsialever.decisions.audit.AuditCheckpoint;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.standins.ObjectStoreStandIn;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a damaged audit day that is reported as complete, and against wrong usage counts.
 */
class AccountingCommandsTest {
    private static final String DAY = "20260102";
    private static final String START = "n1/s1";
    private static final String REPORT =
            "{\"window\":\"20260102T080500Z\",\"totals\":[{\"team\":\"alba\",\"route\":\"chat\","
                    + "\"class\":\"completed\",\"requests\":1,\"prompt_tokens\":10,"
                    + "\"generated_tokens\":100}],\"corrections\":[]}";

    @TempDir Path mFolder;

    private final Closer mCloser = new Closer();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private TableServiceStandIn mTables;
    private ObjectStoreStandIn mObjects;

    @BeforeEach
    void startStandIns() throws IOException {
        mTables = mCloser.register("tables", new TableServiceStandIn());
        mObjects = mCloser.register("objects", new ObjectStoreStandIn());
        Files.writeString(
                mFolder.resolve("node.ini"),
                "[platform]\ntable-service = %s\nobject-store = %s\n"
                        .formatted(mTables.url(), mObjects.url()));
    }

    @AfterEach
    void stopAll() {
        mCloser.close();
    }

    @Test
    void verifyCallsAnIntactDayComplete() throws Exception {
        storeDay(List.of(1, 2, 3));
        assertThat(run("audit", "verify", "--day", "2026-01-02"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("complete"));
    }

    @Test
    void verifyNamesAMissingBatch() throws Exception {
        storeDay(List.of(1, 3));
        assertThat(run("audit", "verify", "--day", "2026-01-02", "--json"), is(ExitCode.DIFFERENT));
        assertThat(
                mOut.toString(),
                containsString("{\"start\":\"n1/s1\",\"batch\":2,\"problem\":\"missing\"}"));
    }

    @Test
    void showPrintsTheRecordsOfOneTeam() throws Exception {
        storeDay(List.of(1, 2, 3));
        assertThat(run("audit", "show", "--day", "2026-01-02", "--team", "alba"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("\"team\":\"alba\""));
        assertThat(mOut.toString(), not(containsString("barka")));
    }

    @Test
    void usageShowsAClosedWindowAndWhetherItWasReported() {
        mTables.put("usage", "window/20260102T080500Z", "7\n" + REPORT);
        assertThat(run("usage", "--day", "2026-01-02"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("closed, not yet reported"));
        mTables.put("usage", "reported/20260102T080500Z", "accepted");
        assertThat(run("usage", "--window", "20260102T080500Z", "--json"), is(ExitCode.OK));
        assertThat(mOut.toString(), containsString("\"reported\":true,\"report\":" + REPORT));
    }

    @Test
    void usageFailsForAWindowThatIsNotClosed() {
        assertThat(run("usage", "--window", "20260102T080500Z"), is(ExitCode.FAILURE));
    }

    @Test
    void refusesAnInvalidDay() {
        assertThat(run("audit", "verify", "--day", "yesterday"), is(ExitCode.USAGE));
        assertThat(run("usage"), is(ExitCode.USAGE));
    }

    private void storeDay(List<Integer> storedBatches) throws Exception {
        AuditChain chain = new AuditChain(START);
        List<AuditBatch> batches =
                List.of(
                        chain.append(List.of("{\"team\":\"alba\"}"), false),
                        chain.append(List.of("{\"team\":\"barka\"}"), false),
                        chain.append(List.of(), true));
        for (int number : storedBatches) {
            put(AuditBatch.objectName(DAY, START, number), batches.get(number - 1).bytes());
        }
        AuditCheckpoint checkpoint =
                new AuditCheckpoint(1, AuditChain.INITIAL_HASH, 3, chain.lastHash(), true);
        mTables.put("audit", DAY + "/" + START, checkpoint.text());
    }

    private void put(String name, byte[] content) throws Exception {
        String path = "/objects/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mObjects.url() + path))
                        .header("If-None-Match", "*")
                        .PUT(HttpRequest.BodyPublishers.ofByteArray(content))
                        .build();
        HttpResponse<Void> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
        assertThat(response.statusCode(), is(201));
    }

    private ExitCode run(String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(List.of("--settings", mFolder.resolve("node.ini").toString()));
        return Main.run(
                arguments.toArray(String[]::new),
                new CommandContext(
                        new PrintStream(mOut), new PrintStream(mErr), new CountDownLatch(1)));
    }
}
