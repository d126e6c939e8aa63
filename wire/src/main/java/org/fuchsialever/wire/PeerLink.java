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
    private final InstanceId mPeer;
    private final Inbox<byte[]> mQueue;
    private final AtomicBoolean mFlushScheduled = new AtomicBoolean();
    private @Nullable InetSocketAddress mAddress;
    private @Nullable Channel mChannel;
    private InstanceId mDialer;
    private boolean mDialing;
    private int mFailures;
    private boolean mAwaitingAnswer;

    PeerLink(InstanceId peer, int queuedFrames) {
        mPeer = peer;
        mDialer = peer;
        mQueue = new Inbox<>(queuedFrames, OverflowPolicy.DROP_OLDEST);
    }

    InstanceId peer() {
        return mPeer;
    }

    /** Adds a frame and returns whether a flush has to be scheduled; called on any thread. */
    boolean enqueue(byte[] frame) {
        mQueue.offer(frame);
        return mFlushScheduled.compareAndSet(false, true);
    }

    long droppedCount() {
        return mQueue.overflowCount();
    }

    void address(InetSocketAddress newAddress) {
        mAddress = newAddress;
    }

    /**
     * Marks the start of a connection attempt.
     *
     * @return the address to connect to; null if no attempt is needed, because there is a
     *     connection, another attempt or nothing to send, or if the address is unknown
     */
    @Nullable InetSocketAddress startDialing() {
        if (mDialing || mChannel != null || mAddress == null || mQueue.size() == 0) {
            return null;
        }
        mDialing = true;
        return mAddress;
    }

    /**
     * Ends a failed connection attempt. No other attempt starts before {@link #endRetryDelay}.
     *
     * @return the number of consecutive failures
     */
    int dialFailed() {
        mFailures++;
        return mFailures;
    }

    void endRetryDelay() {
        mDialing = false;
    }

    boolean isConnected() {
        return mChannel != null;
    }

    /**
     * Uses a connection for this link. If both instances open a connection at the same time, both
     * keep the one that the instance with the smaller name opened.
     *
     * @return whether the connection is used; the caller closes it otherwise
     */
    boolean attach(Channel newChannel, InstanceId openedBy, InstanceId self) {
        InstanceId preferred = mPeer.compareTo(self) < 0 ? mPeer : self;
        Channel current = mChannel;
        if (current != null
                && current.isActive()
                && !mDialer.equals(openedBy)
                && mDialer.equals(preferred)) {
            return false;
        }
        mChannel = newChannel;
        mDialer = openedBy;
        mDialing = false;
        mFailures = 0;
        mAwaitingAnswer = false;
        if (current != null) {
            current.close();
        }
        return true;
    }

    /** Removes a closed connection; returns whether it was the one in use. */
    boolean detach(Channel closedChannel) {
        if (mChannel != closedChannel) {
            return false;
        }
        mChannel = null;
        return true;
    }

    /** Writes queued frames as long as the connection is writable. */
    void flush() {
        mFlushScheduled.set(false);
        Channel current = mChannel;
        if (current == null) {
            return;
        }
        boolean written = false;
        while (current.isWritable()) {
            byte[] frame = mQueue.poll();
            if (frame == null) {
                break;
            }
            current.write(Unpooled.wrappedBuffer(frame), current.voidPromise());
            written = true;
        }
        if (written) {
            mAwaitingAnswer = true;
            current.flush();
        }
    }

    void frameReceived() {
        mAwaitingAnswer = false;
    }

    boolean isAwaitingAnswer() {
        return mAwaitingAnswer;
    }

    void clearAddress() {
        mAddress = null;
    }
}
