package org.foxtailplank.standin.internal.vm;

import java.util.List;
import java.util.Optional;

/** Documents of the VMs' interface. */
final class VmDocuments {

    private VmDocuments() {}

    /** An action as asked. */
    record Act(String id, String action, long generation, String pool, long poolGeneration) {}

    /** The last action of a VM. */
    record Action(String id, String action, String state) {}

    /** The backend server on a VM. */
    record Instance(String service, String address) {}

    /** A VM. */
    record Vm(
            String id,
            String zone,
            String rack,
            String power,
            Optional<String> pool,
            long poolGeneration,
            long generation,
            String state,
            Optional<Action> lastAction,
            Optional<Instance> instance) {}

    /** The list of VMs. */
    record VmList(long asOfMs, List<Vm> vms) {}
}
