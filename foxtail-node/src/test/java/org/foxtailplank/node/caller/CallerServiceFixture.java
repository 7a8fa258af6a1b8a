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

/** A caller service with its dependencies, as in a node. */
final class CallerServiceFixture {
    private final JournalReader mReader;
    private final OwnerLink mLink;
    private final OperatorFollower mOperator;
    private final CallerService mService;

    /** Creates a service that isn't connected to an owner. */
    CallerServiceFixture(
            FakeNode clock,
            SharedLog log,
            Feed<OperatorOrder> orders,
            FakeJobQueries ownerQueries) {
        this(null, clock, clock, log, orders, Optional.of(ownerQueries));
    }

    /** Creates a service that can connect to an owner on the loopback interface and query it. */
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
            Optional<OwnerBook> ownerQueries) {
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
                        ownerQueries.orElse(mLink),
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

    /** Reads the operator's orders. */
    void readOperatorOrders() {
        mOperator.refresh(read -> {});
    }

    /** Sends a request; the returned list receives the reply. */
    List<HttpReply> send(String method, String path, byte[] body, Optional<String> deadlineMs) {
        List<HttpReply> replies = new ArrayList<>();
        HttpRequest request = new HttpRequest(method, path, "", "h", name -> deadlineMs, body);
        mService.handle(request, replies::add);
        return replies;
    }
}
