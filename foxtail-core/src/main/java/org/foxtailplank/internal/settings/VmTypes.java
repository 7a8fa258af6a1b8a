package org.foxtailplank.internal.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Named sizes of VMs; a type may be like another one and state only what differs. */
final class VmTypes {
    private static final int MANY = 1_000_000;
    private static final Size UNKNOWN = new Size(1, 1, 0);

    private final Map<String, Section> mSections;
    private final Map<String, Size> mSizes = new HashMap<>();
    private final Problems mProblems;

    /**
     * What a VM offers.
     *
     * @param processors processor cores
     * @param memoryBytes memory in bytes
     * @param accelerators accelerators
     */
    record Size(int processors, long memoryBytes, int accelerators) {}

    private VmTypes(Map<String, Section> sections, Problems problems) {
        mSections = sections;
        mProblems = problems;
    }

    static VmTypes read(Map<String, Section> sections, Problems problems) {
        VmTypes types = new VmTypes(sections, problems);
        sections.keySet().forEach(name -> types.resolve(name, new ArrayList<>()));
        sections.values().forEach(Section::finish);
        return types;
    }

    /** The size of a rack's VMs: its type, and what the rack itself states. */
    Size sizeOf(Section rack) {
        return size(rack, "type", new ArrayList<>());
    }

    private Size resolve(String name, List<String> chain) {
        Size known = mSizes.get(name);
        if (known != null) {
            return known;
        }
        Section section = mSections.get(name);
        if (chain.contains(name)) {
            // A type that is like itself would be followed for ever; the chain ends the walk.
            chain.add(name);
            mProblems.cycle(section.place("like"), section.path("like"), chain);
            return UNKNOWN;
        }
        chain.add(name);
        Size size = size(section, "like", chain);
        mSizes.put(name, size);
        return size;
    }

    private Size size(Section section, String parentKey, List<String> chain) {
        Optional<String> parent = section.optionalText(parentKey);
        if (parent.isPresent() && !mSections.containsKey(parent.get())) {
            mProblems.unknownName(
                    section.place(parentKey),
                    section.path(parentKey),
                    parent.get(),
                    "a VM type",
                    mSections.keySet());
        }
        Optional<Size> base =
                parent.map(p -> mSections.containsKey(p) ? resolve(p, chain) : UNKNOWN);
        return new Size(
                section.integer("processors", 1, MANY, base.map(Size::processors).orElse(null)),
                section.size("memory", base.map(Size::memoryBytes).orElse(null)),
                section.integer("accelerators", 0, MANY, base.map(Size::accelerators).orElse(0)));
    }
}
