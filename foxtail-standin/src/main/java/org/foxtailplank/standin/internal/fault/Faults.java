package org.foxtailplank.standin.internal.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;

/** The faults that are switched on. */
public final class Faults {

    private final Random mRandom;
    private final List<Active> mActive = new ArrayList<>();

    /** No faults yet; the seed decides which calls a fault with a probability hits. */
    public Faults(long seed) {
        mRandom = new Random(seed);
    }

    /** Switches a fault on. */
    public synchronized void add(Fault fault) {
        mActive.add(new Active(fault));
    }

    /** Switches all faults off. */
    public synchronized void clear() {
        mActive.clear();
    }

    /** The fault that hits this call, if one does. */
    public synchronized Optional<Fault> next(String target, Predicate<Fault> matches) {
        for (Active active : mActive) {
            Fault fault = active.mFault;
            boolean hits =
                    fault.target().equals(target)
                            && matches.test(fault)
                            && mRandom.nextDouble() < fault.probability();
            if (hits) {
                active.mLeft--;
                mActive.removeIf(a -> a.mLeft <= 0);
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }

    /** Carries out a call, with the fault that hits it if one does. */
    public CompletionStage<Reply> around(
            String target,
            Predicate<Fault> matches,
            Request request,
            Supplier<CompletionStage<Reply>> call) {
        return next(target, matches).map(f -> f.kind().around(f, request, call)).orElseGet(call);
    }

    private static final class Active {

        private final Fault mFault;
        private int mLeft;

        private Active(Fault fault) {
            mFault = fault;
            mLeft = fault.times();
        }
    }
}
