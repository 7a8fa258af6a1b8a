package org.foxtailplank.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Headers of a request. Their number is limited, since each takes far more than its bytes. */
final class LimitedHeaders extends DefaultHttpHeaders {
    static final int MAX_HEADERS = 100;

    /** Creates empty headers for each request. */
    static final HttpHeadersFactory FACTORY =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new LimitedHeaders();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return new LimitedHeaders();
                }
            };

    private LimitedHeaders() {}

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= MAX_HEADERS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADERS + " headers");
        }
        return super.add(name, value);
    }
}
