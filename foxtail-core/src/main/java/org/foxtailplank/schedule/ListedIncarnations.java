package org.foxtailplank.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.port.VmClient.VmInfo;

/**
 * The incarnations of workers that a list of VMs names.
 *
 * <p>Guards against treating an incarnation as ended because its VM's entry is unreadable, which
 * would start its tasks a second time. A list with such an entry only proves the end of
 * incarnations whose own VM it names with another one, or with none.
 */
public final class ListedIncarnations {
    private final Set<String> mIncarnations = new HashSet<>();
    private final Set<String> mVms = new HashSet<>();
    private final boolean mComplete;

    public ListedIncarnations(List<VmInfo> vms) {
        vms.forEach(v -> mIncarnations.add(v.worker()));
        vms.stream().filter(VmInfo::isReadable).forEach(v -> mVms.add(v.id()));
        mComplete = !vms.isEmpty() && vms.stream().allMatch(VmInfo::isReadable);
    }

    /** Whether the list names an incarnation's VM with another incarnation or with none. */
    boolean isReplaced(String incarnation, String vm) {
        return mVms.contains(vm) && !mIncarnations.contains(incarnation);
    }

    /** Whether an incarnation that existed before the list was requested has certainly ended. */
    public boolean hasEnded(String incarnation) {
        return mComplete && !mIncarnations.contains(incarnation);
    }
}
