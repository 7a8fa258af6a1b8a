package org.foxtailplank.wire;

/** Messages between processes, apart from heartbeats. */
public sealed interface PeerMessage
        permits ConfigurationRequest,
                ConfigurationAnswer,
                AnswerLookup,
                AnswerLookupResult,
                RequestHandover,
                RequestHandoverResult,
                ClaimsPositionRequest,
                ClaimsPosition {}
