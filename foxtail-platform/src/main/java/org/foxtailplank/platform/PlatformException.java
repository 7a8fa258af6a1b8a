package org.foxtailplank.platform;

/** A call to the platform did not succeed. */
public final class PlatformException extends Exception {

    /** What is known about the effect of a call that did not succeed. */
    public enum Effect {
        /** It certainly had none. */
        NONE,
        /** It may have taken effect. */
        UNKNOWN
    }

    private final Effect mEffect;

    /** Describes a failed call. */
    public PlatformException(String message, Effect effect) {
        super(message);
        mEffect = effect;
    }

    /** Describes a failed call with its cause. */
    public PlatformException(String message, Effect effect, Throwable cause) {
        super(message, cause);
        mEffect = effect;
    }

    /** Whether the call may have taken effect. */
    public Effect effect() {
        return mEffect;
    }
}
