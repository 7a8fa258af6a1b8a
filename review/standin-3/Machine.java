/** A machine of the platform; the rack, the room and the kind stay with it. */
final class Machine {
    final String mName;
    final String mZone;
    final String mRack;
    final String mKind;
    final long mCpu;
    String mPool;
    String mState = "up";
    Minion mMinion;
    long mFence;
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
