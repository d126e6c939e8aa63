package org.fuchsialever.node.callers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.List;

/** Keeps the first fields that it gets and those that delimit the body. */
final class SparseHeaders extends DefaultHttpHeaders {
    /** Enough to name the request in its refusal. */
    static final int MAX_FIELDS = 32;

    /** Keeps nothing; for fields that nobody reads. */
    static final HttpHeadersFactory NO_FIELDS =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new SparseHeaders(0);
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return new SparseHeaders(0);
                }
            };

    private static final List<CharSequence> FRAMING =
            List.of(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.TRANSFER_ENCODING);

    private final int mMaxFields;

    SparseHeaders(int maxFields) {
        mMaxFields = maxFields;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return keeps(name) ? super.add(name, value) : this;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return keeps(name) ? super.add(name, value) : this;
    }

    private boolean keeps(CharSequence name) {
        if (size() < mMaxFields) {
            return true;
        }
        String text = name.toString();
        return mMaxFields > 0
                && FRAMING.stream().anyMatch(one -> one.toString().equalsIgnoreCase(text))
                && !contains(text);
    }
}
