package org.fuchsialever.node.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.Intent;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.decisions.weights.LoadCommand;
import org.fuchsialever.platform.FloodingUpstream;
import org.fuchsialever.platform.FloodingUpstream.Flood;
import org.fuchsialever.standins.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against misinterpreted responses of an engine, over sockets. */
class EngineOrderClientTest {
    private static final UpstreamId ID = new UpstreamId("engine-0");
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    /** The largest response that is read, and what the buffers of two sockets may hold. */
    private static final long MAX_SENT_BYTES = 64L * 1_024 * 1_024;

    private final EngineStandIn mEngine = new EngineStandIn("start-1", Duration.ofMillis(1));
    private final EngineOrderClient mOrders = new EngineOrderClient();

    @AfterEach
    void stop() {
        mEngine.close();
    }

    private CommandResult send(long fencing, long version, BooleanSupplier stillHolding) {
        return send(mEngine.port(), fencing, version, stillHolding);
    }

    private CommandResult send(int port, long fencing, long version, BooleanSupplier stillHolding) {
        UpstreamSpec spec =
                new UpstreamSpec(
                        ID,
                        new PoolName("p"),
                        "127.0.0.1",
                        port,
                        new FailureDomain("a"),
                        CapacityKind.REGULAR,
                        4,
                        Fencing.ENFORCED,
                        UpstreamState.SERVING);
        LoadCommand command = new LoadCommand(ID, new WeightVersion(version), true);
        CommandResult result =
                mOrders.send(
                                spec,
                                new IntentAction.SendCommand<>(
                                        fencing, 1, new Intent<>("i", fencing, command)),
                                stillHolding)
                        .block(TIMEOUT);
        return result == null ? CommandResult.UNKNOWN : result;
    }

    @Test
    void anAcceptedOrderIsLoaded() {
        assertThat(send(3, 7, () -> true), is(CommandResult.DONE));
        assertThat(mEngine.weightVersion(), equalTo(7L));
    }

    @Test
    void anOldFencingNumberIsRecognisedAsSuch() {
        send(5, 7, () -> true);
        assertThat(send(4, 6, () -> true), is(CommandResult.STALE_FENCING));
        assertThat(mEngine.weightVersion(), equalTo(7L));
    }

    @Test
    void nothingIsWrittenAfterTheLeaseHasEnded() {
        assertThat(send(3, 7, () -> false), is(CommandResult.NOT_SENT));
        assertThat(mEngine.orders(), is(empty()));
    }

    @Test
    void aFailedLoadIsReportedAsFailed() {
        mEngine.failVersionLoads(1);
        assertThat(send(3, 7, () -> true), is(CommandResult.FAILED));
    }

    /** Guards against a response that grows until memory runs out or the time limit passes. */
    @Test
    void aResponseWithoutEndIsNotReadToItsTimeLimit() throws Exception {
        try (FloodingUpstream engine = new FloodingUpstream("e", Flood.BODY)) {
            assertThat(send(engine.port(), 3, 7, () -> true), is(CommandResult.UNKNOWN));
            assertThat(engine.awaitClosedByPeer(1, TIMEOUT), is(true));
            assertThat(engine.sentBytes(), lessThan(MAX_SENT_BYTES));
        }
    }

    @Test
    void anOrderToAnUnreachableEngineIsReportedAsNotSent() {
        mEngine.close();
        assertThat(send(3, 7, () -> true), is(CommandResult.NOT_SENT));
    }
}
