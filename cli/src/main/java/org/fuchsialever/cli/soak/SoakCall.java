package org.fuchsialever.cli.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** One request and what its caller and the upstreams have seen of it. */
final class SoakCall {
    final RequestId mId;
    final KeyId mKey;
    final boolean mPlain;
    final int mTokens;
    int mDelivered;
    int mRuns;
    boolean mAnswered;
    boolean mRefusedAsNotRun;
    boolean mSample;
    Consumer<Outcome> mOnEnd = outcome -> {};
    private final List<Token> mShown = new ArrayList<>();
    private final Map<Integer, Set<Token>> mGenerated = new HashMap<>();

    /**
     * Creates a call.
     *
     * @param id its identity
     * @param key the key that its caller shows
     * @param plain whether it goes to the non-repeatable plain route
     * @param tokens number of tokens of its whole answer
     */
    SoakCall(RequestId id, KeyId key, boolean plain, int tokens) {
        mId = id;
        mKey = key;
        mPlain = plain;
        mTokens = tokens;
    }

    /** An upstream generates a token, whether it arrives or not. */
    void generated(int index, Token token) {
        mGenerated.computeIfAbsent(index, i -> new HashSet<>()).add(token);
    }

    /** An instance receives the next token. */
    void shown(Token token) {
        mShown.add(token);
    }

    /** Returns the received tokens as ranges of one version and upstream each. */
    List<TokenRange> ranges() {
        List<TokenRange> ranges = new ArrayList<>();
        int from = 0;
        for (int index = 1; index <= mShown.size(); index++) {
            Token token = mShown.get(index - 1);
            if (index == mShown.size() || !mShown.get(index).equals(token)) {
                ranges.add(
                        new TokenRange(
                                from, index, new WeightVersion(token.version), token.upstream));
                from = index;
            }
        }
        return ranges;
    }

    /** Returns whether each token of some ranges was generated as the ranges state it. */
    boolean wasGenerated(List<TokenRange> ranges) {
        int next = 0;
        for (TokenRange range : ranges) {
            Token token = new Token(range.version().number(), range.upstream());
            while (next < range.to()) {
                if (!mGenerated.getOrDefault(next, Set.of()).contains(token)) {
                    return false;
                }
                next++;
            }
        }
        return next == mTokens;
    }

    /** The origin of a token. */
    record Token(long version, UpstreamId upstream) {}
}
