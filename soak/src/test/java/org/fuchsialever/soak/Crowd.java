package org.fuchsialever.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Connections of clients that send what they like and read nothing. */
final class Crowd implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** A peer that takes nothing for this long does not read on. */
    private static final long SELECT_MILLIS = 500;

    private static final int MAX_IDLE_SELECTS = 6;

    private final Selector mSelector = Selector.open();
    private final List<SocketChannel> mChannels = new ArrayList<>();

    Crowd() throws IOException {}

    /** Opens connections to a port and sends a text on each, as far as the instance takes it. */
    void send(InstanceUnderTest instance, int port, int connections, byte[] text)
            throws IOException {
        for (int n = 0; n < connections; n++) {
            SocketChannel channel = SocketChannel.open();
            mChannels.add(channel);
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.configureBlocking(false);
            if (channel.connect(new InetSocketAddress("127.0.0.1", port))) {
                channel.register(mSelector, SelectionKey.OP_WRITE, ByteBuffer.wrap(text));
            } else {
                channel.register(mSelector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(text));
            }
        }
        int idle = 0;
        while (instance.isAlive() && !mSelector.keys().isEmpty() && idle < MAX_IDLE_SELECTS) {
            idle = mSelector.select(this::advance, SELECT_MILLIS) == 0 ? idle + 1 : 0;
        }
    }

    private void advance(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        ByteBuffer rest = (ByteBuffer) key.attachment();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE);
            }
            if (key.isWritable()) {
                channel.write(rest);
            }
            if (!rest.hasRemaining()) {
                key.cancel();
            }
        } catch (IOException e) {
            // The instance may close such a connection.
            key.cancel();
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : mChannels) {
            channel.close();
        }
        mSelector.close();
    }
}
