package org.fuchsialever.node.audit;

import io.vavr.control.Option;
import org.fuchsialever.decisions.audit.AuditRecord;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.node.dispatch.CallObserver;
import org.fuchsialever.node.dispatch.FinishedCall;

/** Records the end of each call and the reason of a refusal. */
final class CallRecords implements CallObserver {
    private final AuditRecorder mRecorder;

    CallRecords(AuditRecorder recorder) {
        mRecorder = recorder;
    }

    @Override
    public void callFinished(FinishedCall call) {
        for (RefusalReason reason : call.refusal()) {
            mRecorder.record(
                    new AuditRecord.RequestRefused(
                            call.id(),
                            Option.some(call.caller().team()),
                            call.route(),
                            call.caller().key(),
                            reason.code()));
        }
        int attempts = call.attempts().size();
        Option<UpstreamId> last =
                attempts == 0
                        ? Option.none()
                        : Option.some(call.attempts().get(attempts - 1).upstream());
        mRecorder.record(
                new AuditRecord.RequestEnded(
                        call.id(),
                        Option.some(call.caller().team()),
                        call.route(),
                        last,
                        attempts,
                        call.caller().key(),
                        call.outcome()));
    }
}
