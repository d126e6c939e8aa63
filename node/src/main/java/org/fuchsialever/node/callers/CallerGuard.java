package org.fuchsialever.node.callers;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.fuchsialever.decisions.callers.CallerLimits;
import org.fuchsialever.decisions.callers.ClosingReason;
import org.fuchsialever.decisions.callers.ConnectionStage;
import org.fuchsialever.decisions.callers.ConnectionTable;
import org.fuchsialever.decisions.callers.HeadBudget;
import org.fuchsialever.decisions.callers.HeadCost;
import org.fuchsialever.decisions.callers.HeadShare;
import org.fuchsialever.kernel.time.TimeSource;
import org.jspecify.annotations.Nullable;
import reactor.core.scheduler.Scheduler;

/** Closes connections of callers that hold more than the limits of the instance allow. */
public final class CallerGuard {
    private static final long CHECK_INTERVAL_MILLIS = 250;

    private final int mMaxHeadBytes;
    private final IntSupplier mDeclaredHeadBytes;
    private final BooleanSupplier mResponsesTight;
    private final TimeSource mTime;
    private final Scheduler mTimers;
    private final ClosingLog mLog;
    private final ConnectionTable mTable;
    private final HeadBudget mBudget;
    private final Map<Long, Guarded> mOpen = new HashMap<>();
    private long mLastNumber;
    private boolean mChecking;

    /**
     * Creates a guard without connections.
     *
     * @param limits the limits in force
     * @param headBudgetBytes the memory of all heads
     * @param maxHeadBytes the length up to which a head is read whatever the manifest says
     * @param declaredHeadBytes the limit of the manifest in force
     * @param responsesTight whether room for responses is short
     */
    CallerGuard(
            Supplier<CallerLimits> limits,
            long headBudgetBytes,
            int maxHeadBytes,
            IntSupplier declaredHeadBytes,
            BooleanSupplier responsesTight,
            TimeSource time,
            Scheduler timers,
            ClosingLog log,
            MeterRegistry meters) {
        mMaxHeadBytes = maxHeadBytes;
        mDeclaredHeadBytes = declaredHeadBytes;
        mResponsesTight = responsesTight;
        mTime = time;
        mTimers = timers;
        mLog = log;
        mTable = new ConnectionTable(limits);
        mBudget = new HeadBudget(headBudgetBytes);
        for (HeadShare share : HeadShare.values()) {
            meters.gauge(
                    "fuchsialever.callers.heads",
                    Tags.of("share", share.name()),
                    share,
                    this::usedBytes);
        }
        for (ConnectionStage stage : ConnectionStage.values()) {
            meters.gauge(
                    "fuchsialever.callers.connections",
                    Tags.of("stage", stage.name()),
                    stage,
                    this::count);
        }
    }

    /** Adds a connection, in its event loop; closes another one if there are too many. */
    Guarded open(Channel channel) {
        Guarded opened = new Guarded(channel);
        Guarded closed = null;
        boolean isFull;
        synchronized (this) {
            long now = mTime.nanoTime();
            if (mTable.isFull()) {
                closed = take(mTable.firstToClose(now));
            }
            isFull = mTable.isFull();
            if (!isFull) {
                opened.mNumber = ++mLastNumber;
                mOpen.put(opened.mNumber, opened);
                mTable.enter(opened.mNumber, ConnectionStage.SILENT, now);
            }
            opened.mGone = isFull;
        }
        if (closed != null) {
            closed.end(closed.mReason);
        }
        if (isFull) {
            opened.end(ClosingReason.FULL);
        }
        return opened;
    }

    /** Takes a connection out of all tables; its room is free for others from now on. */
    private @Nullable Guarded take(Option<Long> number) {
        if (number.isEmpty()) {
            return null;
        }
        Guarded taken = mOpen.remove(number.get());
        if (taken != null) {
            taken.mReason =
                    mTable.stage(number.get())
                            .map(ConnectionStage::reason)
                            .getOrElse(ClosingReason.NONE);
            mTable.remove(number.get());
            taken.releaseRoom();
            taken.mGone = true;
        }
        return taken;
    }

    private void check() {
        List<Guarded> closed = new ArrayList<>();
        synchronized (this) {
            mChecking = false;
            long now = mTime.nanoTime();
            List<Long> due = new ArrayList<>(mTable.overdue(now));
            if (mResponsesTight.getAsBoolean()) {
                due.addAll(mTable.stalled(now));
            }
            for (long number : due) {
                Guarded open = mOpen.get(number);
                if (open != null && !open.hasProgressed()) {
                    closed.add(open);
                    take(Option.some(number));
                } else if (open != null) {
                    mTable.enter(number, ConnectionStage.RESPONSE, now);
                }
            }
            scheduleCheck();
        }
        closed.forEach(one -> one.end(one.mReason));
    }

    private void scheduleCheck() {
        if (!mChecking && mTable.needsChecks()) {
            mChecking = true;
            mTimers.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized double usedBytes(HeadShare share) {
        return mBudget.usedBytes(share);
    }

    private synchronized double count(ConnectionStage stage) {
        return mTable.count(stage);
    }

    /** A connection; all methods are called in its event loop. */
    final class Guarded {
        private final Channel mChannel;
        private @Nullable EntryDecoder mDecoder;
        private ClosingReason mReason = ClosingReason.NONE;
        private Option<HeadShare> mShare = Option.none();
        private long mNumber;
        private long mCost;
        private long mHeldBytes;
        private long mUnreadBytes;
        private boolean mGone;

        private Guarded(Channel channel) {
            mChannel = channel;
            channel.closeFuture().addListener(closed -> forget());
        }

        /** Sets the decoder whose input is discarded once the connection is closed. */
        void setDecoder(EntryDecoder decoder) {
            mDecoder = decoder;
            if (mGone) {
                decoder.discardInput();
            }
        }

        /** Returns the length up to which a head is read. */
        int maxHeadBytes() {
            return Math.max(mMaxHeadBytes, mDeclaredHeadBytes.getAsInt());
        }

        /** Returns whether no head may be as long, or take as much memory. */
        boolean isTooLarge(int lines, int bytes) {
            return bytes > maxHeadBytes()
                    || HeadCost.of(lines, bytes)
                            > HeadCost.largest(
                                    Math.max(
                                            mDeclaredHeadBytes.getAsInt(),
                                            EntryCodec.LEAST_HEAD_BYTES));
        }

        /** Starts the time of a head, once. */
        void awaitHead() {
            synchronized (CallerGuard.this) {
                if (!mGone && !isIn(ConnectionStage.HEAD)) {
                    mTable.enter(mNumber, ConnectionStage.HEAD, mTime.nanoTime());
                    scheduleCheck();
                }
            }
        }

        /** Enters a stage. */
        void enter(ConnectionStage stage) {
            synchronized (CallerGuard.this) {
                if (mGone) {
                    return;
                }
                mTable.enter(mNumber, stage, mTime.nanoTime());
                scheduleCheck();
            }
        }

        /** Takes the room of a whole head until {@link #release}; returns false without room. */
        boolean admit(long cost) {
            synchronized (CallerGuard.this) {
                if (mGone) {
                    return false;
                }
                mShare = mBudget.admit(cost);
                mCost = cost;
                return mShare.isDefined();
            }
        }

        /**
         * Sets how many unparsed bytes wait; closes those that wait longest if there is no room.
         */
        void hold(long bytes) {
            List<Guarded> closed = new ArrayList<>();
            boolean holds;
            synchronized (CallerGuard.this) {
                if (mGone || bytes == mHeldBytes) {
                    return;
                }
                mBudget.release(HeadShare.UNPARSED, mHeldBytes);
                mHeldBytes = 0;
                holds = bytes == 0 || mBudget.tryHold(bytes);
                while (!holds) {
                    Guarded longest =
                            take(mTable.firstToClose(ConnectionStage.HEAD, mTime.nanoTime()));
                    if (longest == null) {
                        break;
                    }
                    closed.add(longest);
                    if (mGone) {
                        break;
                    }
                    holds = mBudget.tryHold(bytes);
                }
                mHeldBytes = holds ? bytes : 0;
            }
            closed.forEach(one -> one.end(one.mReason));
            if (!holds && !mGone) {
                close(ClosingReason.AHEAD);
            }
        }

        /** Returns the room of the head. */
        void release() {
            synchronized (CallerGuard.this) {
                mShare.forEach(share -> mBudget.release(share, mCost));
                mShare = Option.none();
            }
        }

        private void releaseRoom() {
            release();
            mBudget.release(HeadShare.UNPARSED, mHeldBytes);
            mHeldBytes = 0;
        }

        /** Closes the connection. */
        void close(ClosingReason reason) {
            synchronized (CallerGuard.this) {
                if (mGone) {
                    return;
                }
                take(Option.some(mNumber));
            }
            end(reason);
        }

        private void forget() {
            synchronized (CallerGuard.this) {
                take(Option.some(mNumber));
            }
        }

        private boolean isIn(ConnectionStage stage) {
            return mTable.stage(mNumber).contains(stage);
        }

        /** Returns whether the caller has taken a part of its response since the last check. */
        private boolean hasProgressed() {
            if (!isIn(ConnectionStage.RESPONSE)) {
                return false;
            }
            ChannelOutboundBuffer waiting = mChannel.unsafe().outboundBuffer();
            long unread =
                    waiting == null
                            ? 0
                            : waiting.totalPendingWriteBytes() - waiting.currentProgress();
            boolean progressed = unread != mUnreadBytes;
            mUnreadBytes = unread;
            return progressed;
        }

        private void end(ClosingReason reason) {
            mLog.closed(reason);
            // A new connection is closed once its pipeline is complete.
            if (reason != ClosingReason.FULL && mChannel.eventLoop().inEventLoop()) {
                endInLoop(reason);
            } else {
                mChannel.eventLoop().execute(() -> endInLoop(reason));
            }
        }

        private void endInLoop(ClosingReason reason) {
            mGone = true;
            if (mDecoder != null) {
                mDecoder.discardInput();
            }
            ChannelHandlerContext first = mChannel.pipeline().firstContext();
            if (reason.status() == 0 || first == null) {
                mChannel.close();
                return;
            }
            String status = HttpResponseStatus.valueOf(reason.status()).toString();
            // Behind no response, since the head comes first.
            first.writeAndFlush(
                            Unpooled.copiedBuffer(
                                    "HTTP/1.1 "
                                            + status
                                            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                                    StandardCharsets.US_ASCII))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}
