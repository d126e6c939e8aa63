package org.fuchsialever.node.peers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.services.ListedInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Mono;

/** Guards against messages that do not reach the handlers of other instances. */
@Timeout(60)
class PeerServiceTest {
    private static final String LOOPBACK = "127.0.0.1";

    private final Closer mCloser = new Closer();
    private final List<ListedInstance> mListed = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        mCloser.close();
    }

    private PeerService start(String name) {
        Findings findings = new Findings();
        SettingsReader settings =
                new SettingsReader(IniDocument.parse("node.ini", "", findings), findings);
        ComponentContext context =
                new ComponentContext(
                        settings, mCloser, SystemTimeSource.INSTANCE, 5, new SimpleMeterRegistry());
        FailureDomain domain = new FailureDomain("fd-1");
        PeerService service =
                new PeerService(
                        context,
                        NodeIdentity.startNow(new InstanceId(name), "region-1", domain),
                        () -> Mono.fromSupplier(() -> List.copyOf(mListed)));
        int port = service.listen(LOOPBACK, 0);
        mListed.add(
                new ListedInstance(
                        new InstanceId(name), LOOPBACK, 0, port, "region-1", domain, false));
        return service;
    }

    @Test
    void listedInstancesExchangeWithdrawalsAndHeartbeats() throws InterruptedException {
        PeerMessage.KeyWithdrawals withdrawals =
                new PeerMessage.KeyWithdrawals(Set.of(new KeyId("k1")));
        BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        BlockingQueue<Long> versions = new LinkedBlockingQueue<>();
        List<PeerService> services = new ArrayList<>();
        for (String name : List.of("node-a", "node-b", "node-c")) {
            services.add(start(name));
        }
        PeerService first = services.get(0);
        first.subscribe(
                PeerMessage.KeyWithdrawals.class, (sender, message) -> received.add(message));
        first.subscribe(
                PeerMessage.Heartbeat.class,
                (sender, message) -> versions.add(message.configVersion()));
        services.get(1).announceVersions(17, 3);
        PeerMessage arrived = null;
        while (arrived == null) {
            services.get(2).broadcast(withdrawals);
            arrived = received.poll(20, TimeUnit.MILLISECONDS);
        }
        assertThat(arrived, equalTo(withdrawals));
        long version = 0;
        while (version != 17) {
            version = versions.take();
        }
        // The members are updated on the thread of the duty, so wait for further heartbeats.
        while (first.members().size() < 2) {
            versions.take();
        }
        assertThat(
                first.members().stream().map(Member::instance).collect(Collectors.toSet()),
                equalTo(Set.of(new InstanceId("node-b"), new InstanceId("node-c"))));
    }

    @Test
    void aMessageToAnUnknownInstanceIsRefused() {
        PeerService service = start("node-a");
        boolean known = service.send(new InstanceId("node-x"), new PeerMessage.ConfigNotice(1, 1));
        assertThat(known, is(false));
    }
}
