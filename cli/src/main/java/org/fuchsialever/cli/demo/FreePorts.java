package org.fuchsialever.cli.demo;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.standins.StandInServer;

/**
 * Ports on the loopback address for servers whose port must be known before they bind it.
 *
 * <p>They lie below the ephemeral range, because a port in that range can be taken by an outgoing
 * connection, or by a server that binds port 0, between selection and bind. The tests of other
 * modules share such a class of {@code platform}, which main code cannot use.
 */
final class FreePorts {
    static final int FIRST = 15_000;

    /** Linux takes ports for outgoing connections from 32768 upwards unless told otherwise. */
    static final int LAST = 31_999;

    private static final int COUNT = LAST - FIRST + 1;

    /**
     * Sets the first ports of processes with successive identities far apart, so that one does not
     * select what another has selected and not yet bound. It is near COUNT divided by the golden
     * ratio and has no common factor with COUNT.
     */
    private static final long STRIDE = 10_507;

    private static final int BEGIN =
            (int) Math.floorMod(ProcessHandle.current().pid() * STRIDE, (long) COUNT);

    /** Never goes back, so that no port is handed out twice in this JVM. */
    private static final AtomicInteger TRIED = new AtomicInteger();

    private FreePorts() {}

    /** Returns a port that is free at present and was not returned before. */
    static int next() throws IOException {
        InetAddress address = InetAddress.getByName(StandInServer.HOST);
        for (int i = TRIED.getAndIncrement(); i < COUNT; i = TRIED.getAndIncrement()) {
            int port = FIRST + (BEGIN + i) % COUNT;
            if (isFree(address, port)) {
                return port;
            }
        }
        throw new IllegalStateException("all ports from " + FIRST + " to " + LAST + " were tried");
    }

    private static boolean isFree(InetAddress address, int port) throws IOException {
        try (ServerSocket socket = new ServerSocket(port, 1, address)) {
            return socket.isBound();
        } catch (BindException e) {
            // Another server has the port: that is the answer, and the next port is tried.
            return false;
        }
    }
}
