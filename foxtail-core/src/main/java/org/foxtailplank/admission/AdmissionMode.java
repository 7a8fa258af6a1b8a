package org.foxtailplank.admission;

import java.util.Locale;
import java.util.Optional;

/** Which submissions a queue refuses when its pool is overloaded. */
public enum AdmissionMode {
    /** Accepts all jobs. */
    OFF {
        @Override
        public boolean refuses(Outlook outlook) {
            return false;
        }
    },
    /** Refuses jobs that certainly complete too late to be of any benefit. */
    SURELY_LATE {
        @Override
        public boolean refuses(Outlook outlook) {
            return outlook == Outlook.SURELY_LATE;
        }
    },
    /** Also refuses jobs that are expected to miss their objectives. */
    BEYOND_OBJECTIVE {
        @Override
        public boolean refuses(Outlook outlook) {
            return outlook != Outlook.IN_TIME;
        }
    };

    /** Whether a job with this outlook is refused. */
    public abstract boolean refuses(Outlook outlook);

    /** Name in settings, such as {@code surely-late}. */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the mode with a name in settings. */
    public static Optional<AdmissionMode> named(String settingName) {
        for (AdmissionMode m : values()) {
            if (m.settingName().equals(settingName)) {
                return Optional.of(m);
            }
        }
        return Optional.empty();
    }
}
