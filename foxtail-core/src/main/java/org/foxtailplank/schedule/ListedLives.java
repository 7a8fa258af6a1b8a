package org.foxtailplank.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.port.VmActions.VmInfo;

/**
 * The lives of workers that a list of VMs names.
 *
 * <p>Guards against taking a life for over whose VM's entry can't be read: its tasks would be
 * started a second time while they run. A list with such an entry says of no life that it is over,
 * since nobody knows which lives the entry should have named.
 */
public final class ListedLives {
    private final Set<String> mLives = new HashSet<>();
    private final boolean mComplete;

    public ListedLives(List<VmInfo> vms) {
        vms.forEach(v -> mLives.add(v.worker()));
        mComplete = !vms.isEmpty() && vms.stream().allMatch(VmInfo::isReadable);
    }

    Set<String> lives() {
        return mLives;
    }

    /** Whether the list names every life that there is. */
    boolean isComplete() {
        return mComplete;
    }

    /** Whether a life that was there before the list was asked for is surely over. */
    public boolean isOver(String life) {
        return mComplete && !mLives.contains(life);
    }
}
