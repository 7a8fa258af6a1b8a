package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.adapter.standin.UsersStandin;
import org.foxtailplank.adapter.standin.UsersStandin.Organisation;

/** The organisations of a run, whose keys are revoked and whose caps fall. */
final class SoakOrganisations {
    /** No configuration ever has this key. */
    static final String UNKNOWN_KEY = "key-nobody";

    private static final List<String> NAMES = List.of("north", "south", "east");

    /** Caps on processors, in thousandths; 0 for none. */
    private static final List<Long> CAPS = List.of(0L, 24_000L, 16_000L);

    private static final double WEIGHT = 4;
    private static final int CUT_PART = 4;

    private final UsersStandin mPlatform;
    private final SoakHistory mHistory;
    private final List<Integer> mKeyNumbers = new ArrayList<>();
    private final List<Long> mCaps = new ArrayList<>(CAPS);
    private final List<String> mRevokedKeys = new ArrayList<>();

    SoakOrganisations(UsersStandin platform, SoakHistory history) {
        mPlatform = platform;
        mHistory = history;
        for (String name : NAMES) {
            mKeyNumbers.add(1);
            mHistory.add(t -> new SoakEvent.KeyChanged(t, key(name, 1), true));
        }
        for (int o = 0; o < NAMES.size(); o++) {
            noteCap(o);
        }
        publish(() -> {});
    }

    private static String key(String organisation, int number) {
        return "key-" + organisation + '-' + number;
    }

    static String name(int number) {
        return NAMES.get(number);
    }

    /** The organisation that a job belongs to. */
    static String of(String job) {
        return NAMES.get(Math.floorMod(job.hashCode(), NAMES.size()));
    }

    /** An organisation's key that is valid now. */
    synchronized String validKey(String organisation) {
        return key(organisation, mKeyNumbers.get(NAMES.indexOf(organisation)));
    }

    /** A key that was valid, or one that never was. */
    synchronized String invalidKey(Random random) {
        int number = random.nextInt(mRevokedKeys.size() + 1);
        return number < mRevokedKeys.size() ? mRevokedKeys.get(number) : UNKNOWN_KEY;
    }

    /** Replaces the key of an organisation. */
    synchronized void replaceKey(int number) {
        int organisation = number % NAMES.size();
        String name = NAMES.get(organisation);
        String revoked = validKey(name);
        mKeyNumbers.set(organisation, mKeyNumbers.get(organisation) + 1);
        String added = validKey(name);
        publish(
                () -> {
                    mHistory.add(t -> new SoakEvent.KeyChanged(t, revoked, false));
                    mHistory.add(t -> new SoakEvent.KeyChanged(t, added, true));
                    addRevoked(revoked);
                });
    }

    private synchronized void addRevoked(String key) {
        mRevokedKeys.add(key);
    }

    /** Reduces the cap of an organisation, or restores it. */
    synchronized void setCapCut(int number, boolean cut) {
        int organisation = number % NAMES.size();
        long full = CAPS.get(organisation);
        mCaps.set(organisation, cut ? full / CUT_PART : full);
        publish(() -> noteCap(organisation));
    }

    private synchronized void noteCap(int organisation) {
        long cap = mCaps.get(organisation);
        mHistory.add(t -> new SoakEvent.CapSet(t, NAMES.get(organisation), cap));
    }

    private void publish(Runnable written) {
        List<Organisation> all = new ArrayList<>();
        for (int o = 0; o < NAMES.size(); o++) {
            String name = NAMES.get(o);
            all.add(new Organisation(name, List.of(validKey(name)), WEIGHT, mCaps.get(o)));
        }
        mPlatform.setOrganisations(all, written);
    }
}
