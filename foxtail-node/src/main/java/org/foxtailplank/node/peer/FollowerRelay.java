package org.foxtailplank.node.peer;

import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.node.Timers;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;

/**
 * Relays an owner's starts through the followers that offered it, in turn.
 *
 * <p>A follower behind a partition keeps its connection for a while. It gets few starts without a
 * response, and none after a timeout until it responds.
 */
final class FollowerRelay implements StartRelay {
    /**
     * How long to wait for a follower's response, in milliseconds: a read of the journal and a call
     * to the worker, each of which has a shorter timeout.
     */
    private static final long RESPONSE_TIMEOUT_MS = 1800;

    /** Most starts in flight through one follower. */
    private static final int MAX_IN_FLIGHT = 16;

    private final Timers mTimers;
    private final Deque<Channel> mFollowers = new ArrayDeque<>();
    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private final Map<Channel, Integer> mInFlight = new HashMap<>();
    private long mLastNumber;

    private record Pending(Channel follower, Consumer<Optional<CommandOutcome>> callback) {}

    FollowerRelay(Timers timers) {
        mTimers = timers;
    }

    void addFollower(Channel follower) {
        if (follower.isActive() && !mFollowers.contains(follower)) {
            mFollowers.add(follower);
        }
    }

    /** Removes a follower; the starts that it may have sent count as unanswered. */
    void removeFollower(Channel follower) {
        mFollowers.remove(follower);
        List<Long> lost = new ArrayList<>();
        mPending.forEach(
                (number, pending) -> {
                    if (pending.follower().equals(follower)) {
                        lost.add(number);
                    }
                });
        lost.forEach(n -> complete(n, Optional.of(CommandOutcome.UNANSWERED)));
    }

    @Override
    public boolean isAvailable() {
        return mFollowers.stream().anyMatch(this::canSend);
    }

    private boolean canSend(Channel follower) {
        return follower.isWritable() && mInFlight.getOrDefault(follower, 0) < MAX_IN_FLIGHT;
    }

    @Override
    public void start(
            WorkerAddress worker,
            StartCommand command,
            Consumer<Optional<CommandOutcome>> callback) {
        Optional<Channel> follower = nextFollower();
        if (follower.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        long number = ++mLastNumber;
        mPending.put(number, new Pending(follower.get(), callback));
        mInFlight.merge(follower.get(), 1, Integer::sum);
        mTimers.after(RESPONSE_TIMEOUT_MS, () -> timedOut(number));
        PeerFrame frame = new PeerFrame.RelayedStart(number, worker, command);
        follower.get().writeAndFlush(frame.encode());
    }

    private void timedOut(long number) {
        Pending pending = mPending.get(number);
        if (pending != null) {
            mFollowers.remove(pending.follower());
            complete(number, Optional.of(CommandOutcome.UNANSWERED));
        }
    }

    /** Handles a response, which may arrive after the timeout. */
    void responded(Channel follower, long number, Optional<CommandOutcome> outcome) {
        addFollower(follower);
        complete(number, outcome);
    }

    /** Returns the follower, of those that can be sent a start, that was used the longest ago. */
    private Optional<Channel> nextFollower() {
        for (int i = 0; i < mFollowers.size(); i++) {
            Channel follower = mFollowers.poll();
            mFollowers.add(follower);
            if (canSend(follower)) {
                return Optional.of(follower);
            }
        }
        return Optional.empty();
    }

    private void complete(long number, Optional<CommandOutcome> outcome) {
        Pending pending = mPending.remove(number);
        if (pending != null) {
            mInFlight.computeIfPresent(pending.follower(), (f, n) -> n > 1 ? n - 1 : null);
            pending.callback().accept(outcome);
        }
    }
}
