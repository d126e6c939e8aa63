package org.fuchsialever.node.usage;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.usage.UsageAction;
import org.fuchsialever.decisions.usage.UsageEvent;
import org.fuchsialever.decisions.usage.UsageTotals;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.node.peers.PeerMessages;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;

/** Executes the actions of the usage duty and returns their results as events. */
final class UsageActions implements ActionSink<UsageAction> {
    private static final PartLogger LOG = PartLogger.of("usage");

    /** Below the commit interval, so that a write ends before the next commit is due. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private final TableService mTables;
    private final PeerMessages mPeers;
    private final String mWriter;
    private final MeterRegistry mMeters;
    private final ActionSink<UsageEvent> mDuty;
    private final AtomicLong mCommits = new AtomicLong();
    private final CountDownLatch mStopped = new CountDownLatch(1);

    UsageActions(
            TableService tables,
            PeerMessages peers,
            String writer,
            MeterRegistry meters,
            ActionSink<UsageEvent> duty) {
        mTables = tables;
        mPeers = peers;
        mWriter = writer;
        mMeters = meters;
        mDuty = duty;
    }

    /** Returns a latch that is released when a stopping instance has written all its totals. */
    CountDownLatch stopped() {
        return mStopped;
    }

    @Override
    public void emit(UsageAction action) {
        if (action instanceof UsageAction.WriteRow write) {
            writeRow(write);
        } else if (action instanceof UsageAction.SendHandover handover) {
            mPeers.send(handover.receiver(), HandoverMessages.encode(handover));
        } else if (action instanceof UsageAction.ListPeers) {
            mDuty.emit(new UsageEvent.PeersListed(peersTakingCalls()));
        } else if (action instanceof UsageAction.Lost lost) {
            LOG.warning("Usage was lost: " + lost.reason().code() + ", " + lost.count() + ".");
            mMeters.counter("fuchsialever.usage.lost", "reason", lost.reason().code())
                    .increment(lost.count());
        } else if (action instanceof UsageAction.Stopped) {
            mStopped.countDown();
        }
    }

    private List<UsageEvent.Peer> peersTakingCalls() {
        return mPeers.members().stream()
                .filter(member -> member.state().takesWork())
                .map(member -> new UsageEvent.Peer(member.instance(), member.domain()))
                .toList();
    }

    private void writeRow(UsageAction.WriteRow write) {
        String key = UsageRows.totalsKey(write.owner());
        Commit commit =
                new Commit(
                        mWriter + "-usage-" + mCommits.incrementAndGet(),
                        List.of(new Commit.Condition(UsageRows.TABLE, key, write.version())),
                        List.of(
                                new Commit.Put(
                                        UsageRows.TABLE, key, UsageRows.encode(write.totals()))),
                        List.of());
        mTables.commit(commit)
                .timeout(RESPONSE_TIMEOUT)
                .map(result -> writeResult(write, result))
                .subscribe(
                        mDuty::emit,
                        failure -> {
                            count("commit-failed");
                            mDuty.emit(new UsageEvent.RowFailed(write.owner()));
                        });
    }

    private UsageEvent writeResult(UsageAction.WriteRow write, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return new UsageEvent.RowCommitted(write.owner(), committed.version(), write.change());
        }
        count("commit-conflict");
        List<Row> rows = ((CommitResult.Conflict) result).rows();
        if (rows.isEmpty()) {
            return new UsageEvent.RowConflicted(write.owner(), 0, new UsageTotals());
        }
        Row row = rows.get(0);
        UsageTotals current =
                UsageRows.decodeTotals(row.value())
                        .onFailure(failure -> count("row-malformed"))
                        .getOrElse(UsageTotals::new);
        return new UsageEvent.RowConflicted(write.owner(), row.version(), current);
    }

    private void count(String reason) {
        mMeters.counter("fuchsialever.usage.retries", "reason", reason).increment();
    }
}
