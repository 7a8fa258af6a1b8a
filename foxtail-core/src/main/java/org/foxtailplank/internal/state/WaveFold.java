package org.foxtailplank.internal.state;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.WaveChange;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveStarted;
import org.foxtailplank.state.WaveState;

/** Folds changes of maintenance waves. */
public final class WaveFold {
    /** Maximum number of ended waves that are retained. */
    private static final int MAX_ENDED = 200;

    private final Map<WaveId, WaveState> mWaves = new LinkedHashMap<>();
    private final Set<WaveId> mEnded = new LinkedHashSet<>();

    public Optional<WaveState> wave(WaveId id) {
        return Optional.ofNullable(mWaves.get(id));
    }

    public Collection<WaveState> waves() {
        return Collections.unmodifiableCollection(mWaves.values());
    }

    public Verdict apply(long offset, WaveChange change) {
        if (change instanceof WaveStarted c) {
            return applyStarted(offset, c);
        }
        WaveState w = mWaves.get(change.wave());
        if (w == null) {
            return Verdicts.unknown(ObjectKey.of(change.wave()));
        }
        if (w.phase().isEnded()) {
            return Verdicts.wrongPhase("wave " + w.id() + " is " + w.phase());
        }
        if (change instanceof WaveControlled c) {
            return applyControlled(offset, w, c);
        } else if (change instanceof WaveFinished c) {
            return applyFinished(offset, w, c);
        }
        throw new IllegalStateException("unsupported change: " + change);
    }

    private Verdict applyStarted(long offset, WaveStarted c) {
        if (mWaves.containsKey(c.wave())) {
            return Verdicts.exists(ObjectKey.of(c.wave()));
        }
        if (c.zones().isEmpty()) {
            return Verdicts.malformed("wave " + c.wave() + " covers no availability zone");
        }
        Set<ZoneId> none = Set.of();
        put(
                new WaveState(
                        c.wave(),
                        Set.copyOf(c.zones()),
                        Set.copyOf(c.pools()),
                        none,
                        WavePhase.RUNNING,
                        c.author(),
                        offset,
                        offset));
        return Verdict.APPLIED;
    }

    private Verdict applyControlled(long offset, WaveState w, WaveControlled c) {
        Optional<WavePhase> next = c.order().nextPhase(w.phase());
        if (next.isEmpty()) {
            return Verdicts.wrongPhase(c.order() + ": wave " + w.id() + " is " + w.phase());
        }
        put(with(w, w.finished(), next.get(), c.author(), offset));
        return Verdict.APPLIED;
    }

    private Verdict applyFinished(long offset, WaveState w, WaveFinished c) {
        if (!w.zones().contains(c.zone())) {
            return Verdicts.malformed("wave " + w.id() + " does not cover " + c.zone());
        }
        if (w.finished().contains(c.zone())) {
            return Verdicts.wrongPhase("wave " + w.id() + " is finished in " + c.zone());
        }
        Set<ZoneId> done = new HashSet<>(w.finished());
        done.add(c.zone());
        WavePhase next = done.containsAll(w.zones()) ? WavePhase.FINISHED : w.phase();
        put(with(w, Set.copyOf(done), next, w.lastOrder(), offset));
        return Verdict.APPLIED;
    }

    /** Adds or replaces a wave. */
    public void put(WaveState wave) {
        mWaves.put(wave.id(), wave);
        if (wave.phase().isEnded() && mEnded.add(wave.id()) && mEnded.size() > MAX_ENDED) {
            WaveId oldest = mEnded.iterator().next();
            mEnded.remove(oldest);
            mWaves.remove(oldest);
        }
    }

    private static WaveState with(
            WaveState w, Set<ZoneId> finished, WavePhase phase, ChangeAuthor author, long offset) {
        return new WaveState(
                w.id(), w.zones(), w.pools(), finished, phase, author, w.started(), offset);
    }
}
