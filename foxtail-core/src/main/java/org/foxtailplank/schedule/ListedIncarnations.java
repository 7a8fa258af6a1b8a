package org.foxtailplank.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.port.VmClient.VmInfo;

/**
 * The incarnations of workers that a list of VMs names.
 *
 * <p>Guards against treating an incarnation as ended because its VM's entry is unreadable, which
 * would start its tasks a second time. A list with such an entry doesn't prove that any incarnation
 * has ended.
 */
public final class ListedIncarnations {
    private final Set<String> mIncarnations = new HashSet<>();
    private final boolean mComplete;

    public ListedIncarnations(List<VmInfo> vms) {
        vms.forEach(v -> mIncarnations.add(v.worker()));
        mComplete = !vms.isEmpty() && vms.stream().allMatch(VmInfo::isReadable);
    }

    Set<String> incarnations() {
        return mIncarnations;
    }

    /** Whether the list names every incarnation. */
    boolean isComplete() {
        return mComplete;
    }

    /** Whether an incarnation that existed before the list was requested has certainly ended. */
    public boolean hasEnded(String incarnation) {
        return mComplete && !mIncarnations.contains(incarnation);
    }
}
