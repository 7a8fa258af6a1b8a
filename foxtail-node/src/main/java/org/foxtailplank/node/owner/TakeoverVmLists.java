package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.schedule.ListedIncarnations;

/**
 * The lists of VMs that a new owner reads at its takeover. They are requested after the epoch is
 * raised, so that no earlier owner can record starts on workers that started since.
 */
final class TakeoverVmLists {
    /** Lists in which an incarnation must be missing; one may miss a VM between its pages. */
    private static final int COUNT = 2;

    private final VmClient mVms;
    private final List<ListedIncarnations> mLists = new ArrayList<>();
    private boolean mRead;

    TakeoverVmLists(VmClient vms) {
        mVms = vms;
    }

    /** Requests the lists one after the other; {@code onRead} runs after the last one. */
    void read(Runnable onRead) {
        mVms.list(
                vms -> {
                    List<VmInfo> listed = vms.orElse(List.of());
                    mLists.add(new ListedIncarnations(listed));
                    mRead = vms.isEmpty() || mLists.size() == COUNT;
                    if (mRead) {
                        onRead.run();
                    } else {
                        read(onRead);
                    }
                });
    }

    /** Whether the lists have been read, or one of them could not be. */
    boolean isRead() {
        return mRead;
    }

    /**
     * Whether the lists prove the end of an incarnation that existed before the first of them was
     * requested: they were read, are complete, and all lack it.
     */
    boolean proveEnd(String incarnation) {
        return mRead && mLists.stream().allMatch(l -> l.hasEnded(incarnation));
    }
}
