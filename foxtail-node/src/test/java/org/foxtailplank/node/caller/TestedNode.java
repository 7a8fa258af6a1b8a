package org.foxtailplank.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.adapter.AdapterLimits;
import org.foxtailplank.adapter.UsersPlatform;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.FakeOwnerBook;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.SharedLog;

/** The part of a node that answers callers, with no connection to an owner. */
final class TestedNode {
    private final JournalReader mReader;
    private final OperatorFollower mOperator;
    private final CallerService mService;

    TestedNode(FakeNode time, SharedLog log, Feed<OperatorOrder> orders, FakeOwnerBook owner) {
        NodeLog out = NodeLog.silent(time);
        mOperator = new OperatorFollower(orders, time, time, out);
        mReader =
                new JournalReader(
                        log,
                        JournalPartition.all(3),
                        time,
                        time,
                        out,
                        new JobBook(120_000),
                        (record, job) -> {});
        OwnerLink link = new OwnerLink(null, time, time, out, mReader);
        PlatformAddresses none = new PlatformAddresses("127.0.0.1:1", "", "");
        mService =
                new CallerService(
                        mOperator,
                        mReader,
                        link,
                        owner,
                        new JournalWriter(log, JournalPartition.JOURNAL, link, time, time, out),
                        new UsersPlatform(
                                        null, null, null, none, AdapterLimits.DEFAULTS, time::nowMs)
                                .callerBodies(),
                        time,
                        time,
                        out,
                        new NodeMetrics());
    }

    JournalReader reader() {
        return mReader;
    }

    /** Reads what the operator has written. */
    void readOrders() {
        mOperator.refresh(read -> {});
    }

    /** Sends a request; the answer is in the list once there is one. */
    List<HttpReply> ask(String method, String path, byte[] body, Optional<String> deadlineMs) {
        List<HttpReply> replies = new ArrayList<>();
        HttpRequest request = new HttpRequest(method, path, "", "h", name -> deadlineMs, body);
        mService.handle(request, replies::add);
        return replies;
    }
}
