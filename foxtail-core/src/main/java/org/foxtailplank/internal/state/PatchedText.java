package org.foxtailplank.internal.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A JSON text with the merge patches that were published on top of it.
 *
 * <p>Patches are merged when the text is asked for, or when they have grown to a share of the text;
 * so a change costs the fold its own size, not the size of the configuration.
 */
final class PatchedText {
    private static final int MIN_ROLL_UP = 64 * 1024;
    private static final int SHARE = 4;

    private final List<String> mPatches = new ArrayList<>();
    private String mText;
    private int mPending;

    PatchedText(String text) {
        mText = text;
    }

    /** Adds a patch that was parsed before. */
    void patch(String patch) {
        mPatches.add(patch);
        mPending += patch.length();
        if (mPending > Math.max(MIN_ROLL_UP, mText.length() / SHARE)) {
            text();
        }
    }

    /** The text with all patches merged in. */
    String text() {
        if (!mPatches.isEmpty()) {
            JsonNode merged = MergePatch.parse(mText).orElseGet(MergePatch::emptyObject);
            for (String p : mPatches) {
                merged = MergePatch.merge(merged, MergePatch.parse(p).orElseThrow());
            }
            mText = merged.toPrettyString();
            mPatches.clear();
            mPending = 0;
        }
        return mText;
    }
}
