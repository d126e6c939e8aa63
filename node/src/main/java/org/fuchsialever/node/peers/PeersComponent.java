package org.fuchsialever.node.peers;

import java.util.Set;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.services.Platform;

/** Provides messages to and from the other instances. */
public final class PeersComponent implements Component {
    private static final String SECTION = "node";
    private static final String DEFAULT_ADDRESS = "127.0.0.1";
    private static final int MAX_PORT = 65_535;

    private String mAddress = DEFAULT_ADDRESS;
    private int mPort;

    @Override
    public String pluginName() {
        return "peers";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(NodeIdentity.class, Platform.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(PeerMessages.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mAddress = settings.text(SECTION, "peer-address", DEFAULT_ADDRESS);
        mPort = (int) settings.integer(SECTION, "peer-port", 0, 0, MAX_PORT);
    }

    @Override
    public void install(ComponentContext context) {
        PeerService service =
                new PeerService(
                        context,
                        context.require(NodeIdentity.class),
                        context.require(Platform.class).instances());
        service.listen(mAddress, mPort);
        context.provide(PeerMessages.class, service);
    }
}
