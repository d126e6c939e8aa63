package org.fuchsialever.frontend.rollout;

import io.vavr.control.Option;
import java.util.List;
import java.util.function.Supplier;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Authenticator;
import org.fuchsialever.frontend.Endpoint;
import org.fuchsialever.frontend.ResponseWriter;

/** The services that the endpoints for trainers share. */
public final class RolloutServices {
    private final Supplier<Option<ConfigSnapshot>> mSnapshots;
    private final Supplier<RequestId> mRequestIds;
    private final Authenticator mAuthenticator;
    private final RolloutPort mPort;
    private final ResponseWriter mResponseWriter;
    private final SubmissionReader mReader = new SubmissionReader();
    private final RolloutForwarder mForwarder = new RolloutForwarder();

    /**
     * Creates the services.
     *
     * @param snapshots returns the current configuration, if there is one
     * @param requestIds returns a new request ID each time
     * @param port executes requests
     */
    public RolloutServices(
            Supplier<Option<ConfigSnapshot>> snapshots,
            Supplier<RequestId> requestIds,
            Authenticator authenticator,
            RolloutPort port,
            ResponseWriter responseWriter) {
        mSnapshots = snapshots;
        mRequestIds = requestIds;
        mAuthenticator = authenticator;
        mPort = port;
        mResponseWriter = responseWriter;
    }

    /** Returns all endpoints for trainers. */
    public List<Endpoint> endpoints() {
        return List.of(
                new SubmitEndpoint(this), new SamplesEndpoint(this), new AcknowledgeEndpoint(this));
    }

    Supplier<Option<ConfigSnapshot>> snapshots() {
        return mSnapshots;
    }

    Supplier<RequestId> requestIds() {
        return mRequestIds;
    }

    Authenticator authenticator() {
        return mAuthenticator;
    }

    RolloutPort port() {
        return mPort;
    }

    ResponseWriter responseWriter() {
        return mResponseWriter;
    }

    SubmissionReader reader() {
        return mReader;
    }

    RolloutForwarder forwarder() {
        return mForwarder;
    }
}
