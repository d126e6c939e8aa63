package org.fuchsialever.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.jspecify.annotations.Nullable;

/**
 * Queue and connection for one peer. All methods but {@link #enqueue} run on the event loop of the
 * transport.
 */
final class PeerLink {
    private final InstanceId peer;
    private final Inbox<byte[]> queue;
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    private @Nullable InetSocketAddress address;
    private @Nullable Channel channel;
    private InstanceId dialer;
    private boolean dialing;
    private int failures;
    private boolean awaitingAnswer;

    PeerLink(InstanceId peer, int queuedFrames) {
        this.peer = peer;
        this.dialer = peer;
        this.queue = new Inbox<>(queuedFrames, OverflowPolicy.DROP_OLDEST);
    }

    InstanceId peer() {
        return peer;
    }

    /** Adds a frame and returns whether a flush has to be scheduled; called on any thread. */
    boolean enqueue(byte[] frame) {
        queue.offer(frame);
        return flushScheduled.compareAndSet(false, true);
    }

    long droppedCount() {
        return queue.overflowCount();
    }

    void address(InetSocketAddress newAddress) {
        address = newAddress;
    }

    /**
     * Marks the start of a connection attempt.
     *
     * @return the address to connect to; null if no attempt is needed, because there is a
     *     connection, another attempt or nothing to send, or if the address is unknown
     */
    @Nullable InetSocketAddress startDialing() {
        if (dialing || channel != null || address == null || queue.size() == 0) {
            return null;
        }
        dialing = true;
        return address;
    }

    /**
     * Ends a failed connection attempt. No other attempt starts before {@link #endRetryDelay}.
     *
     * @return the number of consecutive failures
     */
    int dialFailed() {
        failures++;
        return failures;
    }

    void endRetryDelay() {
        dialing = false;
    }

    boolean isConnected() {
        return channel != null;
    }

    /**
     * Uses a connection for this link. If both instances open a connection at the same time, both
     * keep the one that the instance with the smaller name opened.
     *
     * @return whether the connection is used; the caller closes it otherwise
     */
    boolean attach(Channel newChannel, InstanceId openedBy, InstanceId self) {
        InstanceId preferred = peer.compareTo(self) < 0 ? peer : self;
        Channel current = channel;
        if (current != null
                && current.isActive()
                && !dialer.equals(openedBy)
                && dialer.equals(preferred)) {
            return false;
        }
        channel = newChannel;
        dialer = openedBy;
        dialing = false;
        failures = 0;
        awaitingAnswer = false;
        if (current != null) {
            current.close();
        }
        return true;
    }

    /** Removes a closed connection; returns whether it was the one in use. */
    boolean detach(Channel closedChannel) {
        if (channel != closedChannel) {
            return false;
        }
        channel = null;
        return true;
    }

    /** Writes queued frames as long as the connection is writable. */
    void flush() {
        flushScheduled.set(false);
        Channel current = channel;
        if (current == null) {
            return;
        }
        boolean written = false;
        while (current.isWritable()) {
            byte[] frame = queue.poll();
            if (frame == null) {
                break;
            }
            current.write(Unpooled.wrappedBuffer(frame), current.voidPromise());
            written = true;
        }
        if (written) {
            awaitingAnswer = true;
            current.flush();
        }
    }

    void frameReceived() {
        awaitingAnswer = false;
    }

    boolean isAwaitingAnswer() {
        return awaitingAnswer;
    }

    void clearAddress() {
        address = null;
    }
}
