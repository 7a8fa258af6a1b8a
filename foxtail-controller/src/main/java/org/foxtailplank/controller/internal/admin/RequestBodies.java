package org.foxtailplank.controller.internal.admin;

import java.util.Map;
import java.util.Set;

/** Request bodies of the administration API. */
final class RequestBodies {
    private RequestBodies() {}

    /** Fields of every change. */
    interface ChangeBody {
        /** Returns the object version that the change is based on. */
        Long version();

        /** Returns the author within the authenticated team; may be absent. */
        String who();

        /** Returns the reason for the change. */
        String why();
    }

    record TargetBody(Long version, Integer target, Integer reserve, String who, String why)
            implements ChangeBody {
        public TargetBody {
            require(version, "version");
            require(target, "target");
            require(reserve, "reserve");
            requireText(why, "why");
            requireNotNegative(target, "target");
            requireNotNegative(reserve, "reserve");
        }
    }

    record MoveBody(Long version, String to, String who, String why) implements ChangeBody {
        public MoveBody {
            require(version, "version");
            requireText(to, "to");
            requireText(why, "why");
        }
    }

    record WaveBody(String id, Set<String> zones, Set<String> pools, String who, String why)
            implements ChangeBody {
        public WaveBody {
            requireText(id, "id");
            requireText(why, "why");
            require(zones, "zones");
            if (zones.isEmpty()) {
                throw new IllegalArgumentException(
                        "The field 'zones' must name at least one zone.");
            }
            pools = pools == null ? Set.of() : Set.copyOf(pools);
        }

        @Override
        public Long version() {
            return 0L;
        }
    }

    record PlanBody(Set<String> zones, Set<String> pools) {
        public PlanBody {
            require(zones, "zones");
            if (zones.isEmpty()) {
                throw new IllegalArgumentException(
                        "The field 'zones' must name at least one zone.");
            }
            pools = pools == null ? Set.of() : Set.copyOf(pools);
        }
    }

    record ControlBody(Long version, String who, String why) implements ChangeBody {
        public ControlBody {
            require(version, "version");
            requireText(why, "why");
        }
    }

    record JobBody(
            String id,
            String team,
            String pool,
            String urgency,
            Integer processors,
            Long memoryBytes,
            Integer accelerators,
            Integer tasks,
            String who,
            String why)
            implements ChangeBody {
        public JobBody {
            requireText(id, "id");
            requireText(pool, "pool");
            require(processors, "processors");
            require(memoryBytes, "memoryBytes");
            requireNotNegative(processors, "processors");
            requireNotNegative(memoryBytes, "memoryBytes");
            accelerators = accelerators == null ? 0 : accelerators;
            tasks = tasks == null ? 1 : tasks;
            urgency = urgency == null ? "batch" : urgency;
            requireNotNegative(accelerators, "accelerators");
            if (tasks < 1) {
                throw new IllegalArgumentException("The field 'tasks' must be at least 1.");
            }
            requireText(why, "why");
        }

        @Override
        public Long version() {
            return 0L;
        }
    }

    record QuotaBody(Long version, Double quota, String who, String why) implements ChangeBody {
        public QuotaBody {
            require(version, "version");
            require(quota, "quota");
            if (!(quota > 0 && quota <= 1)) {
                throw new IllegalArgumentException(
                        "The field 'quota' must be above 0 and at most 1.");
            }
            requireText(why, "why");
        }
    }

    record ConfigBody(
            Long version, String base, Map<String, String> overlays, String who, String why)
            implements ChangeBody {
        public ConfigBody {
            require(version, "version");
            requireText(base, "base");
            overlays = overlays == null ? Map.of() : Map.copyOf(overlays);
            requireText(why, "why");
        }
    }

    record ConfigPatchBody(
            Long version,
            String basePatch,
            Map<String, String> overlayPatches,
            String who,
            String why)
            implements ChangeBody {
        public ConfigPatchBody {
            require(version, "version");
            basePatch = basePatch == null ? "{}" : basePatch;
            overlayPatches = overlayPatches == null ? Map.of() : Map.copyOf(overlayPatches);
            requireText(why, "why");
        }
    }

    private static void require(Object value, String field) {
        if (value == null) {
            throw new IllegalArgumentException("The field '" + field + "' is missing.");
        }
    }

    private static void requireText(String value, String field) {
        require(value, field);
        if (value.isBlank()) {
            throw new IllegalArgumentException("The field '" + field + "' is blank.");
        }
    }

    private static void requireNotNegative(long value, String field) {
        if (value < 0) {
            throw new IllegalArgumentException("The field '" + field + "' must not be negative.");
        }
    }
}
