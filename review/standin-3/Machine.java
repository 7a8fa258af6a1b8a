/** A machine of the platform; the rack, the room and the kind stay with it. */
final class Machine {
    final String mName;
    final String mZone;
    final String mRack;
    final long mCpu;

    /** Stays across a move or an upkeep; a boot after a crash may be of a different kind. */
    String mKind;

    String mPool;
    String mState = "up";
    Minion mMinion;
    long mFence;

    /** Whether its minion is partitioned from the store. */
    boolean mCutFromStore;

    long mUpkeepWave;

    Machine(String name, String zone, String rack, String kind, long cpu, String pool) {
        mName = name;
        mZone = zone;
        mRack = rack;
        mKind = kind;
        mCpu = cpu;
        mPool = pool;
    }
}
