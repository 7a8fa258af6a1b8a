package org.foxtailplank.platform;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.SharedState;
import org.foxtailplank.wire.TailRecord;

/** Lets peers share in what a process has followed of the platform's log. */
public final class SharedFleetState implements SharedState {

    private final FleetFollower mFleet;

    private SharedFleetState(FleetFollower fleet) {
        mFleet = fleet;
    }

    /** Shares what a process follows. */
    public static SharedState of(FleetFollower fleet) {
        return new SharedFleetState(fleet);
    }

    @Override
    public StatePosition position() {
        return mFleet.position();
    }

    @Override
    public CompletionStage<List<TailRecord>> tailAfter(StatePosition position, int maxBytes) {
        return mFleet.entriesAfter(position, maxBytes)
                .thenApply(entries -> entries.stream().map(SharedFleetState::record).toList());
    }

    @Override
    public CompletionStage<Optional<byte[]>> snapshot() {
        return mFleet.encodedState();
    }

    @Override
    public CompletionStage<Boolean> offerTail(StatePosition position, List<TailRecord> tail) {
        return mFleet.offerEntries(position, tail.stream().map(SharedFleetState::entry).toList());
    }

    @Override
    public CompletionStage<Boolean> offerSnapshot(byte[] state) {
        return mFleet.offerState(state);
    }

    @Override
    public void onChange(Runnable listener) {
        mFleet.onChange(listener);
    }

    private static TailRecord record(StoredEntry entry) {
        return new TailRecord(entry.offset(), entry.id(), ByteString.copyFrom(entry.data()));
    }

    private static StoredEntry entry(TailRecord record) {
        return new StoredEntry(record.offset(), record.id(), record.data().toByteArray());
    }
}
