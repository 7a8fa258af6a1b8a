package org.foxtailplank.node.caller;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.adapter.AdapterLimits;
import org.foxtailplank.adapter.UsersPlatform;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerBook;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.SharedLog;

/** The part of a node that answers callers. */
final class CallerServiceFixture {
    private final JournalReader mReader;
    private final OwnerLink mLink;
    private final OperatorFollower mOperator;
    private final CallerService mService;

    /** A node without a connection to an owner. */
    CallerServiceFixture(
            FakeNode time, SharedLog log, Feed<OperatorOrder> orders, FakeJobQueries owner) {
        this(null, time, time, log, orders, Optional.of(owner));
    }

    /** A node that can follow an owner on the loopback interface, and asks it. */
    CallerServiceFixture(
            EventLoop loop, Clock clock, Timers timers, SharedLog log, Feed<OperatorOrder> orders) {
        this(loop, clock, timers, log, orders, Optional.empty());
    }

    private CallerServiceFixture(
            EventLoop loop,
            Clock clock,
            Timers timers,
            SharedLog log,
            Feed<OperatorOrder> orders,
            Optional<OwnerBook> owner) {
        NodeLog out = NodeLog.silent(clock);
        mOperator = new OperatorFollower(orders, clock, timers, out);
        mReader =
                new JournalReader(
                        log,
                        JournalPartition.all(3),
                        clock,
                        timers,
                        out,
                        new JobBook(120_000),
                        (record, job) -> {});
        mLink = new OwnerLink(loop, clock, timers, out, mReader);
        PlatformAddresses none = new PlatformAddresses("127.0.0.1:1", "", "");
        mService =
                new CallerService(
                        mOperator,
                        mReader,
                        mLink,
                        owner.orElse(mLink),
                        new JournalWriter(log, JournalPartition.JOURNAL, mLink, clock, timers, out),
                        new UsersPlatform(
                                        null,
                                        null,
                                        null,
                                        none,
                                        AdapterLimits.DEFAULTS,
                                        clock::nowMs)
                                .callerBodies(),
                        clock,
                        timers,
                        out,
                        new NodeMetrics());
    }

    JournalReader reader() {
        return mReader;
    }

    OwnerLink link() {
        return mLink;
    }

    /** Reads what the operator has written. */
    void readOperatorOrders() {
        mOperator.refresh(read -> {});
    }

    /** Sends a request; the answer is in the list once there is one. */
    List<HttpReply> send(String method, String path, byte[] body, Optional<String> deadlineMs) {
        List<HttpReply> replies = new ArrayList<>();
        HttpRequest request = new HttpRequest(method, path, "", "h", name -> deadlineMs, body);
        mService.handle(request, replies::add);
        return replies;
    }
}
