package org.foxtailplank.wire;

/** What the system's processes say to each other beside heartbeats. */
public sealed interface PeerMessage
        permits ConfigurationRequest,
                ConfigurationAnswer,
                AnswerLookup,
                AnswerLookupResult,
                RequestHandover,
                RequestHandoverResult,
                ClaimsPositionRequest,
                ClaimsPosition {}
