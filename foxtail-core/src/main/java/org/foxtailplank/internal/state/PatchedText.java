package org.foxtailplank.internal.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A JSON text with merge patches that are applied lazily.
 *
 * <p>Patches are merged when the text is read, or when their total size exceeds a share of the
 * text's size. The cost of folding a change thus depends on the size of its patch, not of the
 * configuration.
 */
final class PatchedText {
    private static final int MIN_ROLL_UP = 64 * 1024;
    private static final int ROLL_UP_DIVISOR = 4;

    private final List<String> mPatches = new ArrayList<>();
    private String mText;
    private int mPending;

    PatchedText(String text) {
        mText = text;
    }

    /** Adds a patch, which must be a valid JSON object. */
    void patch(String patch) {
        mPatches.add(patch);
        mPending += patch.length();
        if (mPending > Math.max(MIN_ROLL_UP, mText.length() / ROLL_UP_DIVISOR)) {
            text();
        }
    }

    /** Returns the text with all patches applied. */
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
