package org.fuchsialever.soak;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Clients outside the operator's control send to an instance with less memory and fewer descriptors
 * than the deploy file allows. The tests check no times and no share of served requests.
 */
class UncontrolledClientsTest {
    /** Bounds a wait that does not end because of a fault; no test depends on its length. */
    private static final Duration PATIENCE = Duration.ofSeconds(60);

    /** The part of each crowd that comes to an address when all of them come to all addresses. */
    private static final int CROWDS_AT_ONCE = 3;

    @TempDir Path mDirectory;

    /** Guards against memory and descriptors that nobody counts at the port of callers. */
    @ParameterizedTest
    @EnumSource(CrowdKind.class)
    void survivesACrowdAtThePortOfCallers(CrowdKind kind) throws IOException {
        survives(kind, ServedAddress.ENTRY);
    }

    /** Guards against a port for the platform that is open to anybody. */
    @ParameterizedTest
    @EnumSource(CrowdKind.class)
    void survivesACrowdAtThePortOfReadinessChecks(CrowdKind kind) throws IOException {
        survives(kind, ServedAddress.READINESS);
    }

    /** Guards against a port for operators that is open to anybody. */
    @ParameterizedTest
    @EnumSource(CrowdKind.class)
    void survivesACrowdAtThePortOfMetrics(CrowdKind kind) throws IOException {
        survives(kind, ServedAddress.METRICS);
    }

    /** Guards against bounds that hold for each kind or each port by itself only. */
    @Test
    void survivesAllCrowdsAtAllPortsAtOnce() throws IOException {
        try (DeployedInstance instance = serving();
                Crowd crowd = new Crowd()) {
            for (CrowdKind kind : CrowdKind.values()) {
                for (ServedAddress address : ServedAddress.values()) {
                    send(kind, crowd, instance, address, CROWDS_AT_ONCE);
                }
            }
            assertSound(instance);
        }
    }

    /** Guards against a bound that a request inside the limits of the manifest meets. */
    @Test
    void servesALegalHeadOfManyShortLines() throws IOException {
        try (DeployedInstance instance = serving();
                RawCaller caller = new RawCaller(instance)) {
            caller.text(CrowdKind.head("/safe/x", "crowd", CrowdKind.SHORT_LINE));
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
            first.text(CrowdKind.head(DeployedInstance.HELD, "first", CrowdKind.SHORT_LINE));
            second.text(CrowdKind.head(DeployedInstance.HELD, "second", CrowdKind.SHORT_LINE));
            awaitRun(instance, "first");
            awaitRun(instance, "second");
            third.text(CrowdKind.head("/safe/x", "third", CrowdKind.SHORT_LINE));
            String refusal = third.response();
            assertThat(refusal, containsString(" 503 "));
            assertThat(refusal, containsString("Retry-After: "));
            assertThat(refusal, containsString("Request-Id: third"));
            awaitAnswer(instance, ServedAddress.ENTRY);
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

    private void survives(CrowdKind kind, ServedAddress address) throws IOException {
        try (DeployedInstance instance = serving();
                Crowd crowd = new Crowd()) {
            send(kind, crowd, instance, address, 1);
            assertSound(instance);
        }
    }

    private static void send(
            CrowdKind kind,
            Crowd crowd,
            DeployedInstance instance,
            ServedAddress address,
            int divisor)
            throws IOException {
        kind.send(crowd, instance.instance(), address.port(instance), address.path(kind), divisor);
    }

    private static void assertSound(DeployedInstance instance) throws IOException {
        for (ServedAddress address : ServedAddress.values()) {
            awaitAnswer(instance, address);
        }
        CrowdBounds.assertKept(instance.instance());
    }

    private DeployedInstance serving() throws IOException {
        DeployedInstance instance =
                new DeployedInstance(mDirectory, CrowdBounds.launcher(), CrowdBounds.options());
        awaitAnswer(instance, ServedAddress.ENTRY);
        return instance;
    }

    private static void awaitAnswer(DeployedInstance instance, ServedAddress address) {
        await().atMost(PATIENCE)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(() -> !instance.instance().isAlive() || address.serves(instance));
        assertThat("the process lives", instance.instance().isAlive(), is(true));
    }
}
